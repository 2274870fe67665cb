/**
 * @file
 * Builds views from the tables of objects. The load of an endpoint is carried
 * over from one view to the next, and the desired state never goes back to an
 * older version.
 */
#ifndef VERSION_VIEW_BUILDER_H
#define VERSION_VIEW_BUILDER_H

#include <stdbool.h>
#include <stdint.h>

#include "process/object_table.h"
#include "version/view.h"

enum {
	/** Longest time between two ticks of a process that was not paused,
	 * ms. */
	VIEW_TICK_MAX_MS = 300,
	/** Changes made during a pause are known this long after it, ms. */
	VIEW_SETTLING_MS = 1000,
};

typedef struct view_builder {
	object_table_t tables[OBJECT_KIND_COUNT];
	desired_state_t *desired; /**< Current; NULL before the first. */
	view_t *view;		  /**< The last one built. */
	target_weights_t *weights;
	size_t weights_count;
	/** Age that the target weights of the first view are assumed to have,
	 * ms: the store does not say when they were set. */
	uint32_t initial_weights_age_ms;
	uint64_t rejected_revision; /**< Of the last desired state rejected. */
	uint64_t ticked_ms;	    /**< Last tick; 0: none. */
	uint64_t paused_ms;  /**< Last tick before the last pause; 0: none. */
	uint64_t resumed_ms; /**< First tick after it. */
	/** Since when peers have had the target weights that were fetched from
	 * them after the last view; 0: none were. */
	uint64_t peers_weights_ms;
} view_builder_t;

void view_builder_free(view_builder_t *builder);

/** Whether all tables that a view needs were read at least once. */
bool view_builder_is_complete(const view_builder_t *builder);

/** Records that the process runs; to be called every 100 ms. Target weights
 * that become known after a pause may have been set at its beginning. */
void view_builder_tick(view_builder_t *builder, uint64_t now_ms);

/** Records that new target weights were fetched from a peer, and since when
 * peers have had them. */
void view_builder_fetched_weights(view_builder_t *builder, uint64_t since_ms);

/**
 * Builds a view of the current tables and publishes it.
 * @return 0, ERR_NOT_READY while a table is missing, ERR_BAD_FIELD for an
 *         invalid desired state if there is no earlier one, ERR_NO_MEMORY
 */
int view_builder_publish(view_builder_t *builder, uint64_t now_ms);

#endif
