#include "request/stream_lookup.h"

#include <stdlib.h>
#include <string.h>

#include "platform/platform_objects.h"
#include "process/cleanup.h"
#include "process/clock.h"
#include "process/error.h"
#include "process/event.h"
#include "process/software.h"
#include "process/stream_archive.h"

static void request_page(stream_lookups_t *lookups);

static void schedule(stream_lookups_t *lookups)
{
	uint64_t now_ms = clock_now_ms();
	uint64_t due_ms = UINT64_MAX;
	const stream_lookup_t *lookup;
	struct timeval after = { 0 };

	if (lookups->call)
		return;
	TAILQ_FOREACH(lookup, &lookups->queue, entry)
	{
		if (lookup->not_before_ms < due_ms)
			due_ms = lookup->not_before_ms;
	}
	if (due_ms == UINT64_MAX)
		return;
	if (due_ms > now_ms)
		after.tv_usec = (suseconds_t)(due_ms - now_ms) * 1000;
	evtimer_add(lookups->timer, &after);
}

static void end_lookup(stream_lookups_t *lookups, stream_lookup_t *lookup,
		       uint32_t software)
{
	stream_lookup_cancel(lookups, lookup);
	lookup->done(lookup, software);
}

/* A lookup that is in the open list, or NULL. */
static stream_lookup_t *find_in_list(const stream_lookups_t *lookups)
{
	stream_lookup_t *lookup;

	TAILQ_FOREACH(lookup, &lookups->queue, entry)
	{
		if (lookup->in_list)
			return lookup;
	}
	return NULL;
}

/* Ends the lookups of the list, or leaves them for the next one. */
static void end_list(stream_lookups_t *lookups, int err)
{
	uint64_t now_ms = clock_now_ms();
	stream_lookup_t *lookup;
	size_t found = 0;
	size_t missing = 0;

	free(lookups->after);
	lookups->after = NULL;
	while ((lookup = find_in_list(lookups))) {
		const stream_row_t *row =
			stream_table_find(&lookups->found, lookup->id, now_ms);

		lookup->in_list = false;
		if (row) {
			found++;
			end_lookup(lookups, lookup, row->software);
			continue;
		}
		missing++;
		if (++lookup->lists >= STREAM_LOOKUP_LISTS_MAX)
			end_lookup(lookups, lookup, SOFTWARE_UNKNOWN);
		else
			lookup->not_before_ms = now_ms + STREAM_LOOKUP_AGAIN_MS;
	}
	event_log(EVENT_STREAMS_LISTED,
		  "result=%s streams=%zu found=%zu missing=%zu",
		  error_type(err), lookups->found.count, found, missing);
	stream_table_free(&lookups->found);
	schedule(lookups);
}

static int read_page(stream_lookups_t *lookups, const store_answer_t *answer)
{
	CLEANUP_OBJECT_PAGE object_page_t page = { 0 };
	CLEANUP_FREE char *after = lookups->after;
	int err = answer->err;

	lookups->after = NULL;
	if (!err)
		err = platform_read_page(OBJECT_STREAMS, answer->body,
					 answer->len, answer->era, &page);
	if (err)
		return err;
	for (size_t i = 0; i < page.count; i++)
		(void)stream_archive_from_json(page.items[i].spec,
					       clock_now_ms(), &lookups->found);
	return object_page_next(&page, after, &lookups->after);
}

static void on_answer(void *context, const store_answer_t *answer)
{
	stream_lookups_t *lookups = context;
	int err;

	lookups->call = NULL;
	err = read_page(lookups, answer);
	if (!err && lookups->after)
		request_page(lookups);
	else
		end_list(lookups, err);
}

static void request_page(stream_lookups_t *lookups)
{
	struct evbuffer *message = evbuffer_new();

	if (message) {
		platform_write_list(message, OBJECT_STREAMS, lookups->after);
		lookups->call = store_call_send(lookups->store, message,
						STREAM_LOOKUP_CALL_MS,
						on_answer, lookups);
		evbuffer_free(message);
	}
	if (!lookups->call)
		end_list(lookups, ERR_STORE_DOWN);
}

/* Ends one lookup whose version has become known; false if there is none. */
static bool end_checked(stream_lookups_t *lookups)
{
	stream_lookup_t *lookup;

	TAILQ_FOREACH(lookup, &lookups->queue, entry)
	{
		uint32_t software = lookup->check(lookup);

		if (software == SOFTWARE_UNKNOWN)
			continue;
		end_lookup(lookups, lookup, software);
		return true;
	}
	return false;
}

/* Marks the lookups of the next list; false if none is due. */
static bool mark_due(stream_lookups_t *lookups, uint64_t now_ms)
{
	stream_lookup_t *lookup;
	bool any = false;

	TAILQ_FOREACH(lookup, &lookups->queue, entry)
	{
		if (now_ms < lookup->not_before_ms)
			continue;
		if (lookup->checks) {
			lookup->checks--;
			lookup->not_before_ms = now_ms + STREAM_LOOKUP_CHECK_MS;
			continue;
		}
		lookup->in_list = true;
		any = true;
	}
	return any;
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	stream_lookups_t *lookups = context;

	(void)fd;
	(void)what;
	if (lookups->call)
		return;
	while (end_checked(lookups))
		;
	if (mark_due(lookups, clock_now_ms()))
		request_page(lookups);
	else
		schedule(lookups);
}

void stream_lookup_start(stream_lookups_t *lookups, stream_lookup_t *lookup,
			 bool may_learn)
{
	lookup->lists = 0;
	lookup->checks = may_learn ? STREAM_LOOKUP_CHECKS_MAX : 0;
	lookup->in_list = false;
	lookup->waiting = true;
	lookup->not_before_ms = clock_now_ms();
	TAILQ_INSERT_TAIL(&lookups->queue, lookup, entry);
	schedule(lookups);
}

void stream_lookup_cancel(stream_lookups_t *lookups, stream_lookup_t *lookup)
{
	if (!lookup->waiting)
		return;
	lookup->waiting = false;
	TAILQ_REMOVE(&lookups->queue, lookup, entry);
}

int stream_lookups_init(stream_lookups_t *lookups, struct event_base *base,
			store_link_t *store)
{
	memset(lookups, 0, sizeof(*lookups));
	TAILQ_INIT(&lookups->queue);
	lookups->store = store;
	lookups->timer = evtimer_new(base, on_timer, lookups);
	return lookups->timer ? 0 : ERR_NO_MEMORY;
}

void stream_lookups_free(stream_lookups_t *lookups)
{
	if (lookups->call)
		store_call_cancel(lookups->call);
	if (lookups->timer)
		event_free(lookups->timer);
	stream_table_free(&lookups->found);
	free(lookups->after);
}
