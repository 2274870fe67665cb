/**
 * @file
 * Looks up in the store at which version of the endpoints' software streams
 * began that this instance does not know. Runs on the front thread.
 *
 * One list of the store answers all lookups that wait when it is requested. A
 * stream that is not found is looked up once more, since its row may just be
 * on the way to the store.
 */
#ifndef REQUEST_STREAM_LOOKUP_H
#define REQUEST_STREAM_LOOKUP_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "process/store_link.h"
#include "process/stream_table.h"

enum {
	/** Timeout of a list, ms: a slow store answers within 300 ms. */
	STREAM_LOOKUP_CALL_MS = 450,
	/** Time from a list that lacks a stream to the next one, ms: within it
	 * a row reaches the store. */
	STREAM_LOOKUP_AGAIN_MS = 300,
	/** Lists in which a stream is searched for. */
	STREAM_LOOKUP_LISTS_MAX = 2,
	/** Interval and number of the checks whether the version has become
	 * known without a list, before the first one; together longer than it
	 * takes to hear the other instances. */
	STREAM_LOOKUP_CHECK_MS = 50,
	STREAM_LOOKUP_CHECKS_MAX = 6,
};

/** One lookup, part of its owner. */
typedef struct stream_lookup {
	uint64_t id;
	uint32_t lists;	 /**< That lacked it. */
	uint32_t checks; /**< That are left before the first list. */
	bool waiting;	 /**< In the queue. */
	bool in_list;	 /**< The open list was requested after it. */
	uint64_t not_before_ms;
	/** Version if it is known without a list, else SOFTWARE_UNKNOWN. */
	uint32_t (*check)(const struct stream_lookup *lookup);
	/** Called once, unless the lookup is cancelled.
	 * @param software SOFTWARE_UNKNOWN if the stream was not found */
	void (*done)(struct stream_lookup *lookup, uint32_t software);
	TAILQ_ENTRY(stream_lookup) entry;
} stream_lookup_t;

/** Queue of lookups. */
typedef struct stream_lookups {
	store_link_t *store;
	struct event *timer;
	store_call_t *call;
	stream_table_t found; /**< By the current list. */
	char *after;	      /**< Last name of the page before; NULL: none. */
	TAILQ_HEAD(, stream_lookup) queue;
} stream_lookups_t;

/** @return 0 or ERR_NO_MEMORY */
int stream_lookups_init(stream_lookups_t *lookups, struct event_base *base,
			store_link_t *store);

/** Cancels the open list; no lookup may wait. */
void stream_lookups_free(stream_lookups_t *lookups);

/**
 * Starts a lookup whose `id`, `check` and `done` are set.
 * @param may_learn the version may soon be known without a list
 */
void stream_lookup_start(stream_lookups_t *lookups, stream_lookup_t *lookup,
			 bool may_learn);

/** Ends a lookup without calling `done`, if it waits. */
void stream_lookup_cancel(stream_lookups_t *lookups, stream_lookup_t *lookup);

#endif
