/**
 * @file
 * Makes views out of the tables of objects. It keeps what this instance knows
 * of an endpoint from one view to the next, and never goes back to an older
 * desired state.
 */
#ifndef VERSION_ASSEMBLY_H
#define VERSION_ASSEMBLY_H

#include <stdbool.h>
#include <stdint.h>

#include "process/object_table.h"
#include "version/view.h"

typedef struct assembly {
	object_table_t tables[OBJECT_KIND_COUNT];
	desired_state_t *desired; /**< In force; NULL before the first. */
	view_t *view;		  /**< The last one made. */
	named_weights_t weights[VIEW_MODELS_MAX];
	uint32_t weights_count;
	/** Weights that were named before this instance knew of them count as
	 * known for so long, ms: nobody tells when they were named. */
	uint32_t named_before_ms;
	uint64_t rejected_revision; /**< Of a desired state that was refused. */
} assembly_t;

void assembly_free(assembly_t *assembly);

/** Whether every table that a view needs was read once. */
bool assembly_is_complete(const assembly_t *assembly);

/**
 * Makes a view of the tables as they are and publishes it.
 * @return 0, ERR_NOT_READY while a table is missing, ERR_BAD_FIELD for an
 *         unusable desired state if there is none before, ERR_NO_MEMORY
 */
int assembly_publish(assembly_t *assembly, uint64_t now_ms);

#endif
