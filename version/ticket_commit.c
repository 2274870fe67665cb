#include "version/ticket_commit.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "process/error.h"
#include "version/ticket_batch.h"

enum {
	LOG_KEEP = 256,
	/** With one more update the head stays below the store's 1 MB. */
	HEAD_MAX_BYTES = 200000,
	SHARD_MAX_BYTES = 700000,
	RETRY_MS = 50,
	RETRY_MAX_MS = 2000,
	ACTION_TIMEOUT_MS = 10000,
};

static void default_u32(uint32_t *number, uint32_t fallback)
{
	if (!*number)
		*number = fallback;
}

static void default_size(size_t *size, size_t fallback)
{
	if (!*size)
		*size = fallback;
}

int ticket_commit_init(ticket_commit_t *commit,
		       const ticket_commit_options_t *options,
		       const ticket_state_t *state, uint64_t at_unix_ms,
		       uint64_t deadline_ms)
{
	ticket_commit_options_t *own = &commit->options;

	memset(commit, 0, sizeof(*commit));
	*own = *options;
	default_u32(&own->log_max, TICKET_LOG_MAX);
	default_u32(&own->log_keep, LOG_KEEP);
	default_u32(&own->retry_ms, RETRY_MS);
	default_u32(&own->action_timeout_ms, ACTION_TIMEOUT_MS);
	default_u32(&own->page_entries, TICKET_PAGE_ENTRIES);
	default_size(&own->head_max_bytes, HEAD_MAX_BYTES);
	default_size(&own->shard_max_bytes, SHARD_MAX_BYTES);
	rng_init(&commit->rng, own->seed);
	commit->applied = json_array();
	if (!commit->applied)
		return ERR_NO_MEMORY;
	commit->at_unix_ms = at_unix_ms;
	commit->deadline_ms = deadline_ms;
	return ticket_state_copy(state, &commit->state);
}

int ticket_commit_add(ticket_commit_t *commit, const ticket_t *ticket,
		      size_t *index)
{
	ticket_item_t *item;

	if (commit->count == TICKET_BATCH_MAX)
		return ERR_LIMIT;
	*index = commit->count++;
	item = &commit->items[*index];
	item->ticket = *ticket;
	json_incref(item->ticket.content);
	item->result.number = ticket->number;
	return 0;
}

static void free_value(json_t **value)
{
	json_decref(*value);
	*value = NULL;
}

/** Frees what a decision prepared for the head update. */
static void free_next(ticket_commit_t *commit)
{
	ticket_state_free(&commit->next);
	ticket_head_free(&commit->next_head);
	free_value(&commit->shards);
}

void ticket_commit_free(ticket_commit_t *commit)
{
	for (size_t i = 0; i < commit->count; i++)
		ticket_free(&commit->items[i].ticket);
	commit->count = 0;
	free_next(commit);
	free_value(&commit->value);
	free_value(&commit->applied);
	ticket_state_free(&commit->state);
	ticket_head_free(&commit->head);
}

bool ticket_commit_has_compacted(const ticket_commit_t *commit)
{
	return commit->shards &&
	       commit->state.position == commit->next_head.position;
}

int ticket_commit_error(const ticket_commit_t *commit)
{
	return commit->failure;
}

static void give_action(ticket_commit_t *commit, ticket_action_kind_t kind,
			uint64_t now_ms, ticket_action_t *action)
{
	commit->waiting = kind == TICKET_ACTION_WAIT;
	commit->action_started_ms = now_ms;
	action->kind = kind;
	action->id = ++commit->action_id;
}

/** What is known about a ticket whose decision was never reached. */
static int open_error(const ticket_item_t *item, int err)
{
	return item->maybe ? ERR_STORE_UNKNOWN : err;
}

/** Ends the commit; tickets without a final result get an error. */
static void finish(ticket_commit_t *commit, int err, ticket_action_t *action)
{
	for (size_t i = 0; i < commit->count; i++) {
		ticket_item_t *item = &commit->items[i];

		if (item->final)
			continue;
		item->final = true;
		item->result = (ticket_result_t){
			.err = open_error(item, err),
			.number = item->ticket.number,
		};
	}
	commit->failure = err;
	commit->phase = TICKET_PHASE_DONE;
	action->kind = TICKET_ACTION_DONE;
}

/** Repeats the phase after a jittered delay, or gives up. */
static void wait_and_retry(ticket_commit_t *commit, uint64_t now_ms,
			   ticket_action_t *action)
{
	uint32_t shift = commit->attempts < 6 ? commit->attempts : 6;
	uint64_t bound_ms = (uint64_t)commit->options.retry_ms << shift;

	if (now_ms >= commit->deadline_ms) {
		finish(commit, ERR_STORE_DOWN, action);
		return;
	}
	commit->attempts++;
	if (bound_ms > RETRY_MAX_MS)
		bound_ms = RETRY_MAX_MS;
	commit->until_ms = now_ms + 1 + rng_below(&commit->rng, bound_ms);
	give_action(commit, TICKET_ACTION_WAIT, now_ms, action);
	action->until_ms = commit->until_ms;
}

static ticket_item_t *find_unwritten(ticket_commit_t *commit)
{
	for (size_t i = 0; i < commit->count; i++) {
		ticket_item_t *item = &commit->items[i];

		if (!item->written && !item->final) {
			commit->index = i;
			return item;
		}
	}
	return NULL;
}

static bool are_all_final(const ticket_commit_t *commit)
{
	for (size_t i = 0; i < commit->count; i++) {
		if (!commit->items[i].final)
			return false;
	}
	return true;
}

static void ticket_key(uint64_t number, char key[TICKET_KEY_MAX_BYTES])
{
	snprintf(key, TICKET_KEY_MAX_BYTES, "ticket/%" PRIu64, number);
}

static void give_content(ticket_commit_t *commit, const ticket_item_t *item,
			 uint64_t now_ms, ticket_action_t *action)
{
	bool create = commit->phase == TICKET_PHASE_CONTENT;

	give_action(commit, create ? TICKET_ACTION_CREATE : TICKET_ACTION_GET,
		    now_ms, action);
	ticket_key(item->ticket.number, action->key);
	if (create)
		action->value = item->ticket.content;
}

static void give_catch_up(ticket_commit_t *commit, uint64_t now_ms,
			  ticket_action_t *action)
{
	const json_t *entry =
		ticket_head_entry(&commit->head, commit->state.position + 1);

	give_action(commit, TICKET_ACTION_GET, now_ms, action);
	ticket_key(
		(uint64_t)json_integer_value(json_object_get(entry, "ticket")),
		action->key);
}

void ticket_page_key(uint64_t page, char key[TICKET_KEY_MAX_BYTES])
{
	/* Lists of keys have the oldest pages first. */
	snprintf(key, TICKET_KEY_MAX_BYTES, TICKET_PAGE_PREFIX "%016" PRIu64,
		 page);
}

/** Reads the page before the entries that are held. */
static void give_log(ticket_commit_t *commit, uint64_t now_ms,
		     ticket_action_t *action)
{
	give_action(commit, TICKET_ACTION_GET, now_ms, action);
	ticket_page_key(ticket_head_page(&commit->head,
					 ticket_head_start(&commit->head)),
			action->key);
}

/** Writes the page in `value`; its number is `index`. */
static void give_page(ticket_commit_t *commit, uint64_t now_ms,
		      ticket_action_t *action)
{
	give_action(commit, TICKET_ACTION_CREATE, now_ms, action);
	ticket_page_key(commit->index, action->key);
	action->value = commit->value;
}

void ticket_shard_key(uint64_t position, size_t shard,
		      char key[TICKET_KEY_MAX_BYTES])
{
	snprintf(key, TICKET_KEY_MAX_BYTES, "config/snapshot/%" PRIu64 "/%zu",
		 position, shard);
}

static void give_snapshot(ticket_commit_t *commit, uint64_t now_ms,
			  ticket_action_t *action)
{
	give_action(commit, TICKET_ACTION_GET, now_ms, action);
	ticket_shard_key(commit->head.snapshot_position, commit->index,
			 action->key);
}

static void give_compact(ticket_commit_t *commit, uint64_t now_ms,
			 ticket_action_t *action)
{
	give_action(commit, TICKET_ACTION_CREATE, now_ms, action);
	ticket_shard_key(commit->state.position, commit->index, action->key);
	action->value = json_array_get(commit->shards, commit->index);
}

static void give_put(ticket_commit_t *commit, uint64_t now_ms,
		     ticket_action_t *action)
{
	free_value(&commit->value);
	commit->value = ticket_head_to_json(&commit->next_head);
	if (!commit->value) {
		finish(commit, ERR_NO_MEMORY, action);
		return;
	}
	give_action(commit,
		    commit->head_version ? TICKET_ACTION_PUT
					 : TICKET_ACTION_CREATE,
		    now_ms, action);
	snprintf(action->key, sizeof(action->key), "config/head");
	action->value = commit->value;
	action->version = commit->head_version;
}

/** The action of the current phase. */
static void give_phase(ticket_commit_t *commit, uint64_t now_ms,
		       ticket_action_t *action)
{
	switch (commit->phase) {
	case TICKET_PHASE_CONTENT:
	case TICKET_PHASE_COMPARE:
		give_content(commit, &commit->items[commit->index], now_ms,
			     action);
		return;
	case TICKET_PHASE_HEAD:
		give_action(commit, TICKET_ACTION_GET, now_ms, action);
		snprintf(action->key, sizeof(action->key), "config/head");
		return;
	case TICKET_PHASE_LOG:
		give_log(commit, now_ms, action);
		return;
	case TICKET_PHASE_CATCH_UP:
		give_catch_up(commit, now_ms, action);
		return;
	case TICKET_PHASE_SNAPSHOT:
		give_snapshot(commit, now_ms, action);
		return;
	case TICKET_PHASE_PAGE:
		give_page(commit, now_ms, action);
		return;
	case TICKET_PHASE_COMPACT:
		give_compact(commit, now_ms, action);
		return;
	case TICKET_PHASE_PUT:
		give_put(commit, now_ms, action);
		return;
	case TICKET_PHASE_DONE:
		action->kind = TICKET_ACTION_DONE;
		return;
	}
}

static void enter(ticket_commit_t *commit, ticket_phase_t phase,
		  uint64_t now_ms, ticket_action_t *action)
{
	commit->phase = phase;
	give_phase(commit, now_ms, action);
}

/** Writes the next content, or goes on to the head. */
static void next_content(ticket_commit_t *commit, uint64_t now_ms,
			 ticket_action_t *action)
{
	if (find_unwritten(commit)) {
		enter(commit, TICKET_PHASE_CONTENT, now_ms, action);
		return;
	}
	if (commit->count && are_all_final(commit)) {
		finish(commit, 0, action);
		return;
	}
	enter(commit, TICKET_PHASE_HEAD, now_ms, action);
}

static void on_content(ticket_commit_t *commit, const ticket_event_t *event,
		       uint64_t now_ms, ticket_action_t *action)
{
	ticket_item_t *item = &commit->items[commit->index];

	switch (event->err) {
	case 0:
		item->written = true;
		/* No one can accept a ticket before its content exists. */
		item->since = commit->state.position;
		break;
	case ERR_STORE_CONDITION:
	case ERR_STORE_UNKNOWN:
		enter(commit, TICKET_PHASE_COMPARE, now_ms, action);
		return;
	case ERR_STORE_DOWN:
	case ERR_STORE_BUDGET:
		wait_and_retry(commit, now_ms, action);
		return;
	default:
		item->final = true;
		item->result.err = event->err;
		break;
	}
	next_content(commit, now_ms, action);
}

/** Compares what `ticket/<N>` holds with the ticket. */
static void on_compare(ticket_commit_t *commit, const ticket_event_t *event,
		       uint64_t now_ms, ticket_action_t *action)
{
	ticket_item_t *item = &commit->items[commit->index];
	char digest[HASH_DIGEST_HEX_BYTES];

	if (event->err) {
		/* Not found: a lost create had no effect yet. */
		commit->phase = TICKET_PHASE_CONTENT;
		wait_and_retry(commit, now_ms, action);
		return;
	}
	if (ticket_digest(event->value, digest)) {
		finish(commit, ERR_NO_MEMORY, action);
		return;
	}
	item->written = true;
	if (strcmp(digest, item->ticket.digest) != 0) {
		item->final = true;
		item->result.err = ERR_TICKET_CONFLICT;
		snprintf(item->result.problem.field,
			 sizeof(item->result.problem.field), "ticket");
		snprintf(item->result.problem.text,
			 sizeof(item->result.problem.text),
			 "ticket %" PRIu64
			 " has other content; use a new number",
			 item->ticket.number);
	}
	next_content(commit, now_ms, action);
}

static void make_final(ticket_commit_t *commit)
{
	for (size_t i = 0; i < commit->count; i++) {
		if (!commit->items[i].deferred)
			commit->items[i].final = true;
	}
}

static void start_put(ticket_commit_t *commit, uint64_t now_ms,
		      ticket_action_t *action)
{
	const ticket_commit_options_t *options = &commit->options;
	uint64_t page = 0;

	free_value(&commit->value);
	commit->value = ticket_head_full_page(&commit->next_head,
					      commit->head.position, &page);
	if (commit->value) {
		commit->index = page;
		enter(commit, TICKET_PHASE_PAGE, now_ms, action);
		return;
	}
	if (ticket_head_trim(&commit->next_head, commit->head.position,
			     options->head_max_bytes)) {
		finish(commit, ERR_NO_MEMORY, action);
		return;
	}
	if (!ticket_head_is_full(&commit->next_head, options->log_max)) {
		enter(commit, TICKET_PHASE_PUT, now_ms, action);
		return;
	}
	commit->shards =
		ticket_snapshot_split(&commit->state, options->shard_max_bytes);
	if (!commit->shards) {
		finish(commit, ERR_LIMIT, action);
		return;
	}
	commit->index = 0;
	enter(commit, TICKET_PHASE_COMPACT, now_ms, action);
}

static void on_page(ticket_commit_t *commit, const ticket_event_t *event,
		    uint64_t now_ms, ticket_action_t *action)
{
	/* An existing page was written by a racing writer; it is equal. */
	if (event->err && event->err != ERR_STORE_CONDITION) {
		wait_and_retry(commit, now_ms, action);
		return;
	}
	ticket_head_drop_page(&commit->next_head);
	start_put(commit, now_ms, action);
}

/** The state is at the head: decides and starts the update. */
static void decide(ticket_commit_t *commit, uint64_t now_ms,
		   ticket_action_t *action)
{
	int err;

	if (ticket_batch_needs_page(commit)) {
		enter(commit, TICKET_PHASE_LOG, now_ms, action);
		return;
	}
	free_next(commit);
	err = ticket_batch_decide(commit);
	if (err) {
		finish(commit, err, action);
		return;
	}
	if (commit->next.position == commit->state.position) {
		make_final(commit);
		finish(commit, 0, action);
		return;
	}
	start_put(commit, now_ms, action);
}

static void catch_up(ticket_commit_t *commit, uint64_t now_ms,
		     ticket_action_t *action)
{
	if (commit->state.position == commit->head.position) {
		decide(commit, now_ms, action);
		return;
	}
	if (ticket_head_entry(&commit->head, commit->state.position + 1)) {
		enter(commit, TICKET_PHASE_CATCH_UP, now_ms, action);
		return;
	}
	if (commit->state.position >= commit->head.log_position) {
		enter(commit, TICKET_PHASE_LOG, now_ms, action);
		return;
	}
	free_next(commit);
	if (ticket_state_init(&commit->next)) {
		finish(commit, ERR_NO_MEMORY, action);
		return;
	}
	commit->index = 0;
	enter(commit, TICKET_PHASE_SNAPSHOT, now_ms, action);
}

static int read_head(ticket_commit_t *commit, const ticket_event_t *event)
{
	ticket_head_free(&commit->head);
	commit->head_version = 0;
	if (event->err == ERR_NOT_FOUND)
		return ticket_head_init(&commit->head,
					commit->options.page_entries);
	commit->head_version = event->version;
	return ticket_head_from_json(event->value, &commit->head);
}

static void on_head(ticket_commit_t *commit, const ticket_event_t *event,
		    uint64_t now_ms, ticket_action_t *action)
{
	int err;

	if (event->err && event->err != ERR_NOT_FOUND) {
		wait_and_retry(commit, now_ms, action);
		return;
	}
	err = read_head(commit, event);
	if (err) {
		finish(commit, err, action);
		return;
	}
	/* An old answer; positions never fall. */
	if (commit->head.position < commit->state.position) {
		wait_and_retry(commit, now_ms, action);
		return;
	}
	catch_up(commit, now_ms, action);
}

static void on_log(ticket_commit_t *commit, const ticket_event_t *event,
		   uint64_t now_ms, ticket_action_t *action)
{
	if (event->err) {
		/* A compaction may have removed the page. */
		if (event->err == ERR_NOT_FOUND)
			commit->phase = TICKET_PHASE_HEAD;
		wait_and_retry(commit, now_ms, action);
		return;
	}
	if (ticket_head_add_page(&commit->head, event->value)) {
		finish(commit, ERR_INTERNAL, action);
		return;
	}
	commit->attempts = 0;
	catch_up(commit, now_ms, action);
}

/** Best effort: a missing row only makes peers read a snapshot. */
static void note_applied(ticket_commit_t *commit, uint64_t position,
			 json_t *content)
{
	json_array_append_new(commit->applied,
			      json_pack("{s:I, s:O}", "position",
					(json_int_t)position, "content",
					content));
}

static void on_catch_up(ticket_commit_t *commit, const ticket_event_t *event,
			uint64_t now_ms, ticket_action_t *action)
{
	uint64_t position = commit->state.position + 1;
	const json_t *entry = ticket_head_entry(&commit->head, position);
	char digest[HASH_DIGEST_HEX_BYTES];

	if (event->err) {
		wait_and_retry(commit, now_ms, action);
		return;
	}
	if (ticket_digest(event->value, digest) ||
	    strcmp(digest,
		   json_string_value(json_object_get(entry, "digest"))) != 0 ||
	    ticket_state_apply(&commit->state, position, event->value)) {
		finish(commit, ERR_INTERNAL, action);
		return;
	}
	note_applied(commit, position, event->value);
	commit->attempts = 0;
	catch_up(commit, now_ms, action);
}

static void on_snapshot(ticket_commit_t *commit, const ticket_event_t *event,
			uint64_t now_ms, ticket_action_t *action)
{
	if (event->err) {
		/* A newer snapshot may have replaced this one. */
		commit->phase = TICKET_PHASE_HEAD;
		wait_and_retry(commit, now_ms, action);
		return;
	}
	if (ticket_snapshot_merge(&commit->next, event->value)) {
		finish(commit, ERR_INTERNAL, action);
		return;
	}
	if (++commit->index < commit->head.snapshot_shards) {
		give_phase(commit, now_ms, action);
		return;
	}
	ticket_state_free(&commit->state);
	commit->state = commit->next;
	commit->state.position = commit->head.snapshot_position;
	json_array_clear(commit->applied);
	memset(&commit->next, 0, sizeof(commit->next));
	catch_up(commit, now_ms, action);
}

static void on_compact(ticket_commit_t *commit, const ticket_event_t *event,
		       uint64_t now_ms, ticket_action_t *action)
{
	const ticket_commit_options_t *options = &commit->options;

	/* An existing shard was written by a racing writer; it is equal. */
	if (event->err && event->err != ERR_STORE_CONDITION) {
		wait_and_retry(commit, now_ms, action);
		return;
	}
	if (++commit->index < json_array_size(commit->shards)) {
		give_phase(commit, now_ms, action);
		return;
	}
	ticket_head_compact(&commit->next_head, commit->state.position,
			    (uint32_t)json_array_size(commit->shards),
			    options->log_keep);
	enter(commit, TICKET_PHASE_PUT, now_ms, action);
}

/** Notes which tickets a lost head update may have accepted. */
static void note_lost_update(ticket_commit_t *commit)
{
	for (size_t i = 0; i < commit->count; i++) {
		ticket_item_t *item = &commit->items[i];

		if (item->final || item->deferred || item->result.err ||
		    item->maybe ||
		    item->result.position <= commit->head.position)
			continue;
		item->maybe = true;
		item->maybe_position = commit->head.position;
	}
}

/** Notes the contents of the tickets that the update has accepted. */
static void note_accepted(ticket_commit_t *commit)
{
	uint64_t position = commit->state.position;

	while (position++ < commit->next.position) {
		const json_t *entry =
			ticket_head_entry(&commit->next_head, position);
		const char *digest =
			json_string_value(json_object_get(entry, "digest"));
		size_t i = 0;

		while (strcmp(commit->items[i].ticket.digest, digest) != 0)
			i++;
		note_applied(commit, position, commit->items[i].ticket.content);
	}
}

static void on_put(ticket_commit_t *commit, const ticket_event_t *event,
		   uint64_t now_ms, ticket_action_t *action)
{
	switch (event->err) {
	case 0:
		note_accepted(commit);
		ticket_state_free(&commit->state);
		commit->state = commit->next;
		memset(&commit->next, 0, sizeof(commit->next));
		make_final(commit);
		next_content(commit, now_ms, action);
		return;
	case ERR_STORE_UNKNOWN:
		note_lost_update(commit);
		commit->phase = TICKET_PHASE_HEAD;
		wait_and_retry(commit, now_ms, action);
		return;
	case ERR_STORE_CONDITION:
	case ERR_STORE_DOWN:
	case ERR_STORE_BUDGET:
		commit->phase = TICKET_PHASE_HEAD;
		wait_and_retry(commit, now_ms, action);
		return;
	default:
		finish(commit, event->err, action);
		return;
	}
}

static void on_answer(ticket_commit_t *commit, const ticket_event_t *event,
		      uint64_t now_ms, ticket_action_t *action)
{
	switch (commit->phase) {
	case TICKET_PHASE_CONTENT:
		on_content(commit, event, now_ms, action);
		return;
	case TICKET_PHASE_COMPARE:
		on_compare(commit, event, now_ms, action);
		return;
	case TICKET_PHASE_HEAD:
		on_head(commit, event, now_ms, action);
		return;
	case TICKET_PHASE_LOG:
		on_log(commit, event, now_ms, action);
		return;
	case TICKET_PHASE_CATCH_UP:
		on_catch_up(commit, event, now_ms, action);
		return;
	case TICKET_PHASE_SNAPSHOT:
		on_snapshot(commit, event, now_ms, action);
		return;
	case TICKET_PHASE_PAGE:
		on_page(commit, event, now_ms, action);
		return;
	case TICKET_PHASE_COMPACT:
		on_compact(commit, event, now_ms, action);
		return;
	case TICKET_PHASE_PUT:
		on_put(commit, event, now_ms, action);
		return;
	case TICKET_PHASE_DONE:
		return;
	}
}

static void on_time(ticket_commit_t *commit, uint64_t now_ms,
		    ticket_action_t *action)
{
	/* A write whose answer does not come may have taken effect. */
	const ticket_event_t lost = { .kind = TICKET_EVENT_ANSWER,
				      .err = ERR_STORE_UNKNOWN };

	if (commit->phase == TICKET_PHASE_DONE)
		return;
	if (commit->waiting) {
		if (now_ms >= commit->until_ms)
			give_phase(commit, now_ms, action);
		return;
	}
	if (now_ms - commit->action_started_ms >=
	    commit->options.action_timeout_ms)
		on_answer(commit, &lost, now_ms, action);
}

void ticket_commit_step(ticket_commit_t *commit, const ticket_event_t *event,
			uint64_t now_ms, ticket_action_t *action)
{
	memset(action, 0, sizeof(*action));
	switch (event->kind) {
	case TICKET_EVENT_START:
		next_content(commit, now_ms, action);
		return;
	case TICKET_EVENT_ANSWER:
		if (event->id == commit->action_id && !commit->waiting)
			on_answer(commit, event, now_ms, action);
		return;
	case TICKET_EVENT_TIME:
		on_time(commit, now_ms, action);
		return;
	}
}
