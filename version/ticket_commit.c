#include "version/ticket_commit.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "process/error.h"
#include "version/ticket_batch.h"

enum {
	LOG_KEEP = 256,
	/** Keeps the head below the store's 1 MB after one more update. */
	HEAD_MAX_BYTES = 200000,
	SHARD_MAX_BYTES = 700000,
	FIRST_RETRY_MAX_MS = 50,
	RETRY_MAX_MS = 2000,
	ACTION_TIMEOUT_MS = 10000,
};

static void set_default_u32(uint32_t *number, uint32_t fallback)
{
	if (!*number)
		*number = fallback;
}

static void set_default_size(size_t *size, size_t fallback)
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
	set_default_u32(&own->log_max, TICKET_LOG_MAX);
	set_default_u32(&own->log_keep, LOG_KEEP);
	set_default_u32(&own->first_retry_max_ms, FIRST_RETRY_MAX_MS);
	set_default_u32(&own->action_timeout_ms, ACTION_TIMEOUT_MS);
	set_default_u32(&own->page_entries, TICKET_PAGE_ENTRIES);
	set_default_size(&own->head_max_bytes, HEAD_MAX_BYTES);
	set_default_size(&own->shard_max_bytes, SHARD_MAX_BYTES);
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

/** Frees the state, head and shards prepared for the head update. */
static void free_next(ticket_commit_t *commit)
{
	ticket_state_free(&commit->next_state);
	ticket_head_free(&commit->next_head);
	free_value(&commit->shards);
}

void ticket_commit_free(ticket_commit_t *commit)
{
	for (size_t i = 0; i < commit->count; i++)
		ticket_free(&commit->items[i].ticket);
	commit->count = 0;
	free_next(commit);
	free_value(&commit->action_value);
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
	return commit->err;
}

static void issue_action(ticket_commit_t *commit, ticket_action_kind_t kind,
			 uint64_t now_ms, ticket_action_t *action)
{
	commit->waiting = kind == TICKET_ACTION_WAIT;
	commit->action_started_ms = now_ms;
	action->kind = kind;
	action->id = ++commit->action_id;
}

/** Error for a ticket that the commit did not decide about. */
static int undecided_error(const ticket_item_t *item, int err)
{
	return item->update_unknown ? ERR_STORE_UNKNOWN : err;
}

/** Ends the commit; tickets without a final result get `err`. */
static void finish(ticket_commit_t *commit, int err, ticket_action_t *action)
{
	for (size_t i = 0; i < commit->count; i++) {
		ticket_item_t *item = &commit->items[i];

		if (item->final)
			continue;
		item->final = true;
		item->result = (ticket_result_t){
			.err = undecided_error(item, err),
			.number = item->ticket.number,
		};
	}
	commit->err = err;
	commit->phase = TICKET_PHASE_DONE;
	action->kind = TICKET_ACTION_DONE;
}

/** Repeats the phase after a jittered delay, or gives up. */
static void wait_and_retry(ticket_commit_t *commit, uint64_t now_ms,
			   ticket_action_t *action)
{
	uint32_t shift = commit->retries < 6 ? commit->retries : 6;
	uint64_t max_delay_ms = (uint64_t)commit->options.first_retry_max_ms
				<< shift;

	if (now_ms >= commit->deadline_ms) {
		finish(commit, ERR_STORE_DOWN, action);
		return;
	}
	commit->retries++;
	if (max_delay_ms > RETRY_MAX_MS)
		max_delay_ms = RETRY_MAX_MS;
	commit->wait_until_ms =
		now_ms + 1 + rng_below(&commit->rng, max_delay_ms);
	issue_action(commit, TICKET_ACTION_WAIT, now_ms, action);
	action->wait_until_ms = commit->wait_until_ms;
}

static ticket_item_t *find_unwritten(ticket_commit_t *commit)
{
	for (size_t i = 0; i < commit->count; i++) {
		ticket_item_t *item = &commit->items[i];

		if (!item->content_written && !item->final) {
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

static void issue_content(ticket_commit_t *commit, const ticket_item_t *item,
			  uint64_t now_ms, ticket_action_t *action)
{
	bool create = commit->phase == TICKET_PHASE_WRITE_CONTENT;

	issue_action(commit, create ? TICKET_ACTION_CREATE : TICKET_ACTION_GET,
		     now_ms, action);
	ticket_key(item->ticket.number, action->key);
	if (create)
		action->value = item->ticket.content;
}

static void issue_ticket_read(ticket_commit_t *commit, uint64_t now_ms,
			      ticket_action_t *action)
{
	const json_t *entry =
		ticket_head_entry(&commit->head, commit->state.position + 1);

	issue_action(commit, TICKET_ACTION_GET, now_ms, action);
	ticket_key(
		(uint64_t)json_integer_value(json_object_get(entry, "ticket")),
		action->key);
}

void ticket_page_key(uint64_t page, char key[TICKET_KEY_MAX_BYTES])
{
	/* Zero-padded, so that key listings have the oldest pages first. */
	snprintf(key, TICKET_KEY_MAX_BYTES, TICKET_PAGE_PREFIX "%016" PRIu64,
		 page);
}

/** Reads the page before the log entries in memory. */
static void issue_page_read(ticket_commit_t *commit, uint64_t now_ms,
			    ticket_action_t *action)
{
	issue_action(commit, TICKET_ACTION_GET, now_ms, action);
	ticket_page_key(ticket_head_page_number(
				&commit->head,
				ticket_head_base_position(&commit->head)),
			action->key);
}

/** Writes the page in `action_value`; its number is `index`. */
static void issue_page_write(ticket_commit_t *commit, uint64_t now_ms,
			     ticket_action_t *action)
{
	issue_action(commit, TICKET_ACTION_CREATE, now_ms, action);
	ticket_page_key(commit->index, action->key);
	action->value = commit->action_value;
}

void ticket_shard_key(uint64_t position, size_t shard,
		      char key[TICKET_KEY_MAX_BYTES])
{
	snprintf(key, TICKET_KEY_MAX_BYTES, "config/snapshot/%" PRIu64 "/%zu",
		 position, shard);
}

static void issue_shard_read(ticket_commit_t *commit, uint64_t now_ms,
			     ticket_action_t *action)
{
	issue_action(commit, TICKET_ACTION_GET, now_ms, action);
	ticket_shard_key(commit->head.snapshot_position, commit->index,
			 action->key);
}

static void issue_shard_write(ticket_commit_t *commit, uint64_t now_ms,
			      ticket_action_t *action)
{
	issue_action(commit, TICKET_ACTION_CREATE, now_ms, action);
	ticket_shard_key(commit->state.position, commit->index, action->key);
	action->value = json_array_get(commit->shards, commit->index);
}

static void issue_head_write(ticket_commit_t *commit, uint64_t now_ms,
			     ticket_action_t *action)
{
	free_value(&commit->action_value);
	commit->action_value = ticket_head_to_json(&commit->next_head);
	if (!commit->action_value) {
		finish(commit, ERR_NO_MEMORY, action);
		return;
	}
	issue_action(commit,
		     commit->head_version ? TICKET_ACTION_PUT
					  : TICKET_ACTION_CREATE,
		     now_ms, action);
	snprintf(action->key, sizeof(action->key), "config/head");
	action->value = commit->action_value;
	action->version = commit->head_version;
}

/** Issues the action of the current phase. */
static void issue_phase_action(ticket_commit_t *commit, uint64_t now_ms,
			       ticket_action_t *action)
{
	switch (commit->phase) {
	case TICKET_PHASE_WRITE_CONTENT:
	case TICKET_PHASE_COMPARE_CONTENT:
		issue_content(commit, &commit->items[commit->index], now_ms,
			      action);
		return;
	case TICKET_PHASE_READ_HEAD:
		issue_action(commit, TICKET_ACTION_GET, now_ms, action);
		snprintf(action->key, sizeof(action->key), "config/head");
		return;
	case TICKET_PHASE_READ_PAGE:
		issue_page_read(commit, now_ms, action);
		return;
	case TICKET_PHASE_READ_TICKET:
		issue_ticket_read(commit, now_ms, action);
		return;
	case TICKET_PHASE_READ_SHARD:
		issue_shard_read(commit, now_ms, action);
		return;
	case TICKET_PHASE_WRITE_PAGE:
		issue_page_write(commit, now_ms, action);
		return;
	case TICKET_PHASE_WRITE_SHARD:
		issue_shard_write(commit, now_ms, action);
		return;
	case TICKET_PHASE_WRITE_HEAD:
		issue_head_write(commit, now_ms, action);
		return;
	case TICKET_PHASE_DONE:
		action->kind = TICKET_ACTION_DONE;
		return;
	}
}

static void enter_phase(ticket_commit_t *commit, ticket_phase_t phase,
			uint64_t now_ms, ticket_action_t *action)
{
	commit->phase = phase;
	issue_phase_action(commit, now_ms, action);
}

/** Writes the content of the next ticket; after the last, reads the head. */
static void write_next_content(ticket_commit_t *commit, uint64_t now_ms,
			       ticket_action_t *action)
{
	if (find_unwritten(commit)) {
		enter_phase(commit, TICKET_PHASE_WRITE_CONTENT, now_ms, action);
		return;
	}
	if (commit->count && are_all_final(commit)) {
		finish(commit, 0, action);
		return;
	}
	enter_phase(commit, TICKET_PHASE_READ_HEAD, now_ms, action);
}

static void on_content_written(ticket_commit_t *commit,
			       const ticket_event_t *event, uint64_t now_ms,
			       ticket_action_t *action)
{
	ticket_item_t *item = &commit->items[commit->index];

	switch (event->err) {
	case 0:
		item->content_written = true;
		/* A ticket is never accepted before its content is stored. */
		item->unaccepted_position = commit->state.position;
		break;
	case ERR_STORE_CONDITION:
	case ERR_STORE_UNKNOWN:
		enter_phase(commit, TICKET_PHASE_COMPARE_CONTENT, now_ms,
			    action);
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
	write_next_content(commit, now_ms, action);
}

/** Compares the stored content of `ticket/<N>` with the ticket. */
static void compare_content(ticket_commit_t *commit,
			    const ticket_event_t *event, uint64_t now_ms,
			    ticket_action_t *action)
{
	ticket_item_t *item = &commit->items[commit->index];
	char digest[HASH_DIGEST_HEX_BYTES];

	if (event->err) {
		/* If not found, the create had no effect so far. */
		commit->phase = TICKET_PHASE_WRITE_CONTENT;
		wait_and_retry(commit, now_ms, action);
		return;
	}
	if (ticket_digest(event->value, digest)) {
		finish(commit, ERR_NO_MEMORY, action);
		return;
	}
	item->content_written = true;
	if (strcmp(digest, item->ticket.digest) != 0) {
		item->final = true;
		item->result.err = ERR_TICKET_CONFLICT;
		snprintf(item->result.problem.field,
			 sizeof(item->result.problem.field), "ticket");
		snprintf(item->result.problem.text,
			 sizeof(item->result.problem.text),
			 "ticket %" PRIu64
			 " is already stored with different content; use "
			 "a new number",
			 item->ticket.number);
	}
	write_next_content(commit, now_ms, action);
}

/** Makes the results of all tickets but the deferred ones final. */
static void finalize_decided(ticket_commit_t *commit)
{
	for (size_t i = 0; i < commit->count; i++) {
		if (!commit->items[i].deferred)
			commit->items[i].final = true;
	}
}

/** Writes a full page, or else snapshot shards if needed, or else the head. */
static void prepare_head_update(ticket_commit_t *commit, uint64_t now_ms,
				ticket_action_t *action)
{
	const ticket_commit_options_t *options = &commit->options;
	uint64_t page = 0;

	free_value(&commit->action_value);
	commit->action_value = ticket_head_make_page(
		&commit->next_head, commit->head.position, &page);
	if (commit->action_value) {
		commit->index = page;
		enter_phase(commit, TICKET_PHASE_WRITE_PAGE, now_ms, action);
		return;
	}
	if (ticket_head_trim(&commit->next_head, commit->head.position,
			     options->head_max_bytes)) {
		finish(commit, ERR_NO_MEMORY, action);
		return;
	}
	if (!ticket_head_needs_compaction(&commit->next_head,
					  options->log_max)) {
		enter_phase(commit, TICKET_PHASE_WRITE_HEAD, now_ms, action);
		return;
	}
	commit->shards =
		ticket_snapshot_split(&commit->state, options->shard_max_bytes);
	if (!commit->shards) {
		finish(commit, ERR_LIMIT, action);
		return;
	}
	commit->index = 0;
	enter_phase(commit, TICKET_PHASE_WRITE_SHARD, now_ms, action);
}

static void on_page_written(ticket_commit_t *commit,
			    const ticket_event_t *event, uint64_t now_ms,
			    ticket_action_t *action)
{
	/* Another writer may have written the page; the values are equal. */
	if (event->err && event->err != ERR_STORE_CONDITION) {
		wait_and_retry(commit, now_ms, action);
		return;
	}
	ticket_head_mark_page_written(&commit->next_head);
	prepare_head_update(commit, now_ms, action);
}

/** Decides about the tickets, and updates the head if any is accepted. */
static void decide(ticket_commit_t *commit, uint64_t now_ms,
		   ticket_action_t *action)
{
	int err;

	if (ticket_batch_needs_page(commit)) {
		enter_phase(commit, TICKET_PHASE_READ_PAGE, now_ms, action);
		return;
	}
	free_next(commit);
	err = ticket_batch_decide(commit);
	if (err) {
		finish(commit, err, action);
		return;
	}
	if (commit->next_state.position == commit->state.position) {
		finalize_decided(commit);
		finish(commit, 0, action);
		return;
	}
	prepare_head_update(commit, now_ms, action);
}

/** Brings the state to the head's position by pages, tickets or a snapshot. */
static void catch_up(ticket_commit_t *commit, uint64_t now_ms,
		     ticket_action_t *action)
{
	if (commit->state.position == commit->head.position) {
		decide(commit, now_ms, action);
		return;
	}
	if (ticket_head_entry(&commit->head, commit->state.position + 1)) {
		enter_phase(commit, TICKET_PHASE_READ_TICKET, now_ms, action);
		return;
	}
	if (commit->state.position >= commit->head.log_position) {
		enter_phase(commit, TICKET_PHASE_READ_PAGE, now_ms, action);
		return;
	}
	free_next(commit);
	if (ticket_state_init(&commit->next_state)) {
		finish(commit, ERR_NO_MEMORY, action);
		return;
	}
	commit->index = 0;
	enter_phase(commit, TICKET_PHASE_READ_SHARD, now_ms, action);
}

static int load_head(ticket_commit_t *commit, const ticket_event_t *event)
{
	ticket_head_free(&commit->head);
	commit->head_version = 0;
	if (event->err == ERR_NOT_FOUND)
		return ticket_head_init(&commit->head,
					commit->options.page_entries);
	commit->head_version = event->version;
	return ticket_head_from_json(event->value, &commit->head);
}

static void on_head_read(ticket_commit_t *commit, const ticket_event_t *event,
			 uint64_t now_ms, ticket_action_t *action)
{
	int err;

	if (event->err && event->err != ERR_NOT_FOUND) {
		wait_and_retry(commit, now_ms, action);
		return;
	}
	err = load_head(commit, event);
	if (err) {
		finish(commit, err, action);
		return;
	}
	/* A stale read: positions never decrease. */
	if (commit->head.position < commit->state.position) {
		wait_and_retry(commit, now_ms, action);
		return;
	}
	catch_up(commit, now_ms, action);
}

static void on_page_read(ticket_commit_t *commit, const ticket_event_t *event,
			 uint64_t now_ms, ticket_action_t *action)
{
	if (event->err) {
		/* A compaction may have removed the page. */
		if (event->err == ERR_NOT_FOUND)
			commit->phase = TICKET_PHASE_READ_HEAD;
		wait_and_retry(commit, now_ms, action);
		return;
	}
	if (ticket_head_prepend_page(&commit->head, event->value)) {
		finish(commit, ERR_INTERNAL, action);
		return;
	}
	commit->retries = 0;
	catch_up(commit, now_ms, action);
}

/** Best effort: peers that miss an entry read a snapshot instead. */
static void record_applied(ticket_commit_t *commit, uint64_t position,
			   json_t *content)
{
	json_array_append_new(commit->applied,
			      json_pack("{s:I, s:O}", "position",
					(json_int_t)position, "content",
					content));
}

static void on_ticket_read(ticket_commit_t *commit, const ticket_event_t *event,
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
	record_applied(commit, position, event->value);
	commit->retries = 0;
	catch_up(commit, now_ms, action);
}

static void on_shard_read(ticket_commit_t *commit, const ticket_event_t *event,
			  uint64_t now_ms, ticket_action_t *action)
{
	if (event->err) {
		/* A newer snapshot may have replaced this one. */
		commit->phase = TICKET_PHASE_READ_HEAD;
		wait_and_retry(commit, now_ms, action);
		return;
	}
	if (ticket_snapshot_merge(&commit->next_state, event->value)) {
		finish(commit, ERR_INTERNAL, action);
		return;
	}
	if (++commit->index < commit->head.snapshot_shards) {
		issue_phase_action(commit, now_ms, action);
		return;
	}
	ticket_state_free(&commit->state);
	commit->state = commit->next_state;
	commit->state.position = commit->head.snapshot_position;
	json_array_clear(commit->applied);
	memset(&commit->next_state, 0, sizeof(commit->next_state));
	catch_up(commit, now_ms, action);
}

static void on_shard_written(ticket_commit_t *commit,
			     const ticket_event_t *event, uint64_t now_ms,
			     ticket_action_t *action)
{
	const ticket_commit_options_t *options = &commit->options;

	/* Another writer may have written the shard; the values are equal. */
	if (event->err && event->err != ERR_STORE_CONDITION) {
		wait_and_retry(commit, now_ms, action);
		return;
	}
	if (++commit->index < json_array_size(commit->shards)) {
		issue_phase_action(commit, now_ms, action);
		return;
	}
	ticket_head_compact(&commit->next_head, commit->state.position,
			    (uint32_t)json_array_size(commit->shards),
			    options->log_keep);
	enter_phase(commit, TICKET_PHASE_WRITE_HEAD, now_ms, action);
}

/** Marks the tickets that a head update without answer may have accepted. */
static void record_unknown_update(ticket_commit_t *commit)
{
	for (size_t i = 0; i < commit->count; i++) {
		ticket_item_t *item = &commit->items[i];

		if (item->final || item->deferred || item->result.err ||
		    item->update_unknown ||
		    item->result.position <= commit->head.position)
			continue;
		item->update_unknown = true;
		item->unknown_update_position = commit->head.position;
	}
}

/** Records the contents of the tickets that the head update accepted. */
static void record_accepted(ticket_commit_t *commit)
{
	uint64_t position = commit->state.position;

	while (position++ < commit->next_state.position) {
		const json_t *entry =
			ticket_head_entry(&commit->next_head, position);
		const char *digest =
			json_string_value(json_object_get(entry, "digest"));
		size_t i = 0;

		while (strcmp(commit->items[i].ticket.digest, digest) != 0)
			i++;
		record_applied(commit, position,
			       commit->items[i].ticket.content);
	}
}

static void on_head_written(ticket_commit_t *commit,
			    const ticket_event_t *event, uint64_t now_ms,
			    ticket_action_t *action)
{
	switch (event->err) {
	case 0:
		record_accepted(commit);
		ticket_state_free(&commit->state);
		commit->state = commit->next_state;
		memset(&commit->next_state, 0, sizeof(commit->next_state));
		finalize_decided(commit);
		write_next_content(commit, now_ms, action);
		return;
	case ERR_STORE_UNKNOWN:
		record_unknown_update(commit);
		commit->phase = TICKET_PHASE_READ_HEAD;
		wait_and_retry(commit, now_ms, action);
		return;
	case ERR_STORE_CONDITION:
	case ERR_STORE_DOWN:
	case ERR_STORE_BUDGET:
		commit->phase = TICKET_PHASE_READ_HEAD;
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
	case TICKET_PHASE_WRITE_CONTENT:
		on_content_written(commit, event, now_ms, action);
		return;
	case TICKET_PHASE_COMPARE_CONTENT:
		compare_content(commit, event, now_ms, action);
		return;
	case TICKET_PHASE_READ_HEAD:
		on_head_read(commit, event, now_ms, action);
		return;
	case TICKET_PHASE_READ_PAGE:
		on_page_read(commit, event, now_ms, action);
		return;
	case TICKET_PHASE_READ_TICKET:
		on_ticket_read(commit, event, now_ms, action);
		return;
	case TICKET_PHASE_READ_SHARD:
		on_shard_read(commit, event, now_ms, action);
		return;
	case TICKET_PHASE_WRITE_PAGE:
		on_page_written(commit, event, now_ms, action);
		return;
	case TICKET_PHASE_WRITE_SHARD:
		on_shard_written(commit, event, now_ms, action);
		return;
	case TICKET_PHASE_WRITE_HEAD:
		on_head_written(commit, event, now_ms, action);
		return;
	case TICKET_PHASE_DONE:
		return;
	}
}

static void on_timer(ticket_commit_t *commit, uint64_t now_ms,
		     ticket_action_t *action)
{
	/* A write without an answer may have taken effect. */
	const ticket_event_t no_answer = { .kind = TICKET_EVENT_ANSWER,
					   .err = ERR_STORE_UNKNOWN };

	if (commit->phase == TICKET_PHASE_DONE)
		return;
	if (commit->waiting) {
		if (now_ms >= commit->wait_until_ms)
			issue_phase_action(commit, now_ms, action);
		return;
	}
	if (now_ms - commit->action_started_ms >=
	    commit->options.action_timeout_ms)
		on_answer(commit, &no_answer, now_ms, action);
}

void ticket_commit_step(ticket_commit_t *commit, const ticket_event_t *event,
			uint64_t now_ms, ticket_action_t *action)
{
	memset(action, 0, sizeof(*action));
	switch (event->kind) {
	case TICKET_EVENT_START:
		write_next_content(commit, now_ms, action);
		return;
	case TICKET_EVENT_ANSWER:
		if (event->id == commit->action_id && !commit->waiting)
			on_answer(commit, event, now_ms, action);
		return;
	case TICKET_EVENT_TIMER:
		on_timer(commit, now_ms, action);
		return;
	}
}
