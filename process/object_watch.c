#include "process/object_watch.h"

#include <stdlib.h>
#include <string.h>

#include "platform/platform_objects.h"
#include "process/cleanup.h"
#include "process/clock.h"
#include "process/error.h"
#include "process/event.h"
#include "process/metrics.h"
#include "process/store_revision.h"

struct object_watch {
	object_watch_options_t options;
	struct event *timer;
	store_call_t *call;
	struct evbuffer *message;
	bool active;
	bool listing;
	bool in_contact;
	bool contact_known;
	uint64_t list_revision; /**< Of the store, at the list's first page. */
	char *list_after;	/**< Last name of the previous page, or NULL. */
	uint64_t since; /**< Revision that the open call watches from. */
	uint64_t sent_ms;
	uint64_t sent_boot_ms;
	uint32_t sent_wait_ms; /**< Of the open call; 0: it is a list. */
	uint64_t checked_ms;   /**< See object_watch_checked_ms(). */
	uint32_t failures;
};

static void send_call(object_watch_t *watch);

static void send_after(object_watch_t *watch, uint64_t delay_ms)
{
	struct timeval delay = {
		.tv_sec = (time_t)(delay_ms / 1000),
		.tv_usec = (suseconds_t)(delay_ms % 1000) * 1000,
	};

	evtimer_add(watch->timer, &delay);
}

/** Calls contact_changed() if this result differs from the last one. */
static void update_contact(object_watch_t *watch, int err)
{
	bool contact = err == 0;

	if (watch->contact_known && watch->in_contact == contact)
		return;
	watch->contact_known = true;
	watch->in_contact = contact;
	watch->options.contact_changed(watch->options.context,
				       watch->options.kind, err);
}

static void retry_later(object_watch_t *watch, int err)
{
	uint64_t delay_ms = OBJECT_RETRY_MIN_MS;

	for (uint32_t i = 0;
	     i < watch->failures && delay_ms < OBJECT_RETRY_MAX_MS; i++)
		delay_ms *= 2;
	if (delay_ms > OBJECT_RETRY_MAX_MS)
		delay_ms = OBJECT_RETRY_MAX_MS;
	watch->failures++;
	update_contact(watch, err);
	send_after(watch,
		   delay_ms / 2 + rng_below(watch->options.rng, delay_ms));
}

/** Makes the next call request the first page of a list. */
static void restart_list(object_watch_t *watch)
{
	free(watch->list_after);
	watch->list_after = NULL;
	watch->listing = true;
}

static void log_list(const object_watch_t *watch, int err)
{
	metrics_add(METRIC_STORE_LISTS, 1);
	event_log(EVENT_STORE_LIST, "kind=%s result=%s era=%llu revision=%llu",
		  object_kind_name(watch->options.kind), error_type(err),
		  (unsigned long long)watch->options.store->era,
		  (unsigned long long)store_revision_number(
			  watch->options.table->revision));
}

/* Takes ownership of the name `*next` after which the list continues. */
static int apply_list_page(object_watch_t *watch, const object_page_t *page,
			   char **next)
{
	object_table_t *table = watch->options.table;
	int changed = 0;

	if (!watch->list_after) {
		object_table_list_begin(table);
		watch->list_revision = page->revision;
	}
	for (size_t i = 0; i < page->count; i++) {
		int result = object_table_list_add(table, &page->items[i]);

		if (result < 0)
			return result;
		changed |= result;
	}
	free(watch->list_after);
	watch->list_after = *next;
	*next = NULL;
	if (watch->list_after)
		return changed;
	changed |= object_table_list_end(table, watch->list_revision,
					 clock_now_ms());
	watch->listing = table->has_room;
	return changed;
}

/* The store has held a call without changes for its wait time. */
static void set_checked(object_watch_t *watch, const object_page_t *page)
{
	uint64_t held_until_ms = watch->sent_boot_ms + watch->sent_wait_ms;

	watch->checked_ms = !page->count && clock_boot_ms() >= held_until_ms
				    ? held_until_ms
				    : watch->sent_boot_ms;
}

static int apply_changes(object_watch_t *watch, const object_page_t *page)
{
	object_table_t *table = watch->options.table;
	int changed = object_table_apply(table, page, clock_now_ms());

	/* A list has the entries that were left out. */
	if (table->has_room)
		restart_list(watch);
	return changed;
}

static void log_left_out(const object_watch_t *watch, uint32_t before)
{
	const object_table_t *table = watch->options.table;

	if (table->left_out > before)
		event_log(EVENT_ENTRIES_LEFT_OUT, "kind=%s count=%u bytes=%zu",
			  object_kind_name(table->kind), table->left_out,
			  table->bytes);
}

static void apply_page(object_watch_t *watch, const object_page_t *page,
		       char **next)
{
	uint32_t left_out = watch->list_after || !watch->listing
				    ? watch->options.table->left_out
				    : 0;
	int changed;

	update_contact(watch, 0);
	changed = watch->listing ? apply_list_page(watch, page, next)
				 : apply_changes(watch, page);
	log_left_out(watch, left_out);
	if (changed < 0) {
		restart_list(watch);
		retry_later(watch, changed);
		return;
	}
	watch->failures = 0;
	if (!watch->list_after)
		set_checked(watch, page);
	if (changed)
		watch->options.changed(watch->options.context,
				       watch->options.kind);
	if (!watch->active)
		return;
	if (watch->list_after) {
		send_call(watch);
		return;
	}
	send_after(watch, clock_now_ms() - watch->sent_ms <
					  watch->options.min_interval_ms
				  ? watch->options.min_interval_ms
				  : 0);
}

/* Whether the store was restored since the answer that this one continues, or
 * a peer's table of a newer era was taken since the call: its changes are not
 * those that followed. */
static bool is_from_other_era(const object_watch_t *watch,
			      const object_page_t *page)
{
	uint64_t era = store_revision_era(page->revision);

	if (watch->listing)
		return watch->list_after &&
		       store_revision_era(watch->list_revision) != era;
	return store_revision_era(watch->since) != era ||
	       store_revision_era(watch->options.table->revision) != era;
}

static void on_answer(void *context, const store_answer_t *answer)
{
	object_watch_t *watch = context;
	CLEANUP_OBJECT_PAGE object_page_t page = { 0 };
	CLEANUP_FREE char *next = NULL;
	int err = answer->err;

	watch->call = NULL;
	if (!err)
		err = platform_read_page(watch->options.kind, answer->body,
					 answer->len, answer->era, &page);
	if (!err && page.unreadable)
		event_log(EVENT_ENTRY_REJECTED, "kind=%s why=unreadable",
			  object_kind_name(watch->options.kind));
	/* A list tells which object a change that cannot be read was of, and
	 * its pages are never too long. */
	if (err == ERR_STORE_GONE || (answer->too_long && !watch->listing) ||
	    (!err && (is_from_other_era(watch, &page) ||
		      (page.unreadable && !watch->listing)))) {
		log_list(watch, answer->too_long ? ERR_LIMIT : err);
		restart_list(watch);
		send_call(watch);
		return;
	}
	if (!err && watch->listing)
		err = object_page_next(&page, watch->list_after, &next);
	if (err) {
		if (err == ERR_BAD_JSON && watch->listing)
			restart_list(watch);
		retry_later(watch, err);
		return;
	}
	apply_page(watch, &page, &next);
}

static void send_call(object_watch_t *watch)
{
	const object_watch_options_t *options = &watch->options;
	uint32_t timeout_ms = OBJECT_CALL_TIMEOUT_MS;

	watch->sent_wait_ms = 0;
	evbuffer_drain(watch->message, evbuffer_get_length(watch->message));
	if (watch->listing) {
		platform_write_list(watch->message, options->kind,
				    watch->list_after);
	} else {
		uint32_t wait_ms =
			options->wait_ms / 2 +
			(uint32_t)rng_below(options->rng, options->wait_ms / 2);

		if (options->probe_first && !watch->contact_known)
			wait_ms = OBJECT_PROBE_WAIT_MS;

		watch->since = options->table->revision;
		platform_write_watch(watch->message, options->kind,
				     watch->since, wait_ms);
		watch->sent_wait_ms = wait_ms;
		timeout_ms = wait_ms + options->answer_margin_ms;
	}
	watch->sent_ms = clock_now_ms();
	if (!watch->list_after)
		watch->sent_boot_ms = clock_boot_ms();
	watch->call = store_call_send(options->store, watch->message,
				      timeout_ms, on_answer, watch);
	if (!watch->call)
		retry_later(watch, ERR_CONNECT);
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	(void)fd;
	(void)what;
	send_call(context);
}

object_watch_t *object_watch_start(const object_watch_options_t *options)
{
	object_watch_t *watch = calloc(1, sizeof(*watch));

	if (!watch)
		return NULL;
	watch->options = *options;
	watch->listing = true;
	watch->message = evbuffer_new();
	watch->timer = evtimer_new(options->store->base, on_timer, watch);
	if (!watch->message || !watch->timer) {
		object_watch_stop(watch);
		return NULL;
	}
	return watch;
}

void object_watch_stop(object_watch_t *watch)
{
	if (!watch)
		return;
	if (watch->call)
		store_call_cancel(watch->call);
	if (watch->timer)
		event_free(watch->timer);
	if (watch->message)
		evbuffer_free(watch->message);
	free(watch->list_after);
	free(watch);
}

bool object_watch_is_failing(const object_watch_t *watch)
{
	return watch->contact_known && !watch->in_contact;
}

bool object_watch_is_in_contact(const object_watch_t *watch)
{
	return watch->in_contact;
}

uint64_t object_watch_checked_ms(const object_watch_t *watch)
{
	return watch->checked_ms;
}

/* Whether the store is known to be in a newer era than a revision. */
static bool is_before_restore(const object_watch_t *watch, uint64_t revision)
{
	return revision < store_revision_make(watch->options.store->era, 0);
}

void object_watch_check_era(object_watch_t *watch)
{
	if (!watch->active || watch->listing ||
	    !is_before_restore(watch, watch->call
					      ? watch->since
					      : watch->options.table->revision))
		return;
	if (watch->call)
		store_call_cancel(watch->call);
	evtimer_del(watch->timer);
	log_list(watch, 0);
	restart_list(watch);
	send_call(watch);
}

void object_watch_set_active(object_watch_t *watch, bool active)
{
	if (watch->active == active)
		return;
	watch->active = active;
	watch->contact_known = false;
	watch->in_contact = false;
	watch->checked_ms = 0;
	if (active) {
		watch->listing = !watch->options.table->complete ||
				 is_before_restore(
					 watch, watch->options.table->revision);
		send_after(watch, 0);
		return;
	}
	if (watch->call)
		store_call_cancel(watch->call);
	watch->call = NULL;
	restart_list(watch);
	evtimer_del(watch->timer);
}
