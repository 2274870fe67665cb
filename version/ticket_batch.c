#include "version/ticket_batch.h"

#include "process/error.h"

enum {
	/** Size of new log entries that ends a head update, bytes. */
	BATCH_BYTES = 100000,
};

static uint64_t max_position(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

/** Whether a page not read yet may show that this ticket was accepted. */
static bool needs_page(const ticket_commit_t *commit, const ticket_item_t *item)
{
	uint64_t since = max_position(item->unaccepted_position,
				      commit->head.log_position);

	if (item->update_unknown)
		since = max_position(since, item->unknown_update_position);
	return !item->final &&
	       since < ticket_head_base_position(&commit->head) &&
	       ticket_is_outdated(&commit->state, &item->ticket) &&
	       !ticket_head_find(&commit->head, item->ticket.number);
}

bool ticket_batch_needs_page(const ticket_commit_t *commit)
{
	for (size_t i = 0; i < commit->count; i++) {
		if (needs_page(commit, &commit->items[i]))
			return true;
	}
	return false;
}

/** Corrects a decision if the answer to an earlier update was lost. */
static void resolve_unknown_update(const ticket_commit_t *commit,
				   ticket_item_t *item)
{
	ticket_result_t *result = &item->result;

	if (!item->update_unknown)
		return;
	if (!result->err) {
		/* It was this commit's update that accepted the ticket. */
		result->repeated = false;
		return;
	}
	/* The log must cover all positions since that update. */
	if (commit->head.position != item->unknown_update_position &&
	    !ticket_head_entry(&commit->head,
			       item->unknown_update_position + 1))
		result->err = ERR_STORE_UNKNOWN;
}

/**
 * Decides about one ticket, with the tickets accepted before it applied.
 * @return 0 or ERR_NO_MEMORY
 */
static int decide_item(ticket_commit_t *commit, ticket_item_t *item)
{
	ticket_state_t trial = { 0 };
	config_t *config = NULL;
	int err;

	if (!ticket_decide(&commit->next_head, &commit->next_state,
			   &item->ticket, &item->result)) {
		resolve_unknown_update(commit, item);
		return 0;
	}
	/* The head advanced without the ticket, so the update failed. */
	if (commit->head.position > item->unknown_update_position)
		item->update_unknown = false;
	err = ticket_state_copy(&commit->next_state, &trial);
	if (!err)
		err = ticket_state_apply(&trial, trial.position + 1,
					 item->ticket.content);
	if (!err)
		err = config_build(trial.position, trial.objects, &config,
				   &item->result.problem);
	config_release(config);
	if (err) {
		ticket_state_free(&trial);
		item->result.err = err;
		return err == ERR_TICKET_INVALID ? 0 : err;
	}
	ticket_state_free(&commit->next_state);
	commit->next_state = trial;
	item->result.position = trial.position;
	return ticket_head_append(&commit->next_head, &item->ticket,
				  commit->at_unix_ms);
}

/**
 * Next item by number, then index, that has no final result.
 * @param last previous item, or NULL for the first
 */
static ticket_item_t *next_undecided(ticket_commit_t *commit,
				     const ticket_item_t *last)
{
	ticket_item_t *best = NULL;

	for (size_t i = 0; i < commit->count; i++) {
		ticket_item_t *item = &commit->items[i];

		if (item->final || item == last)
			continue;
		if (last && (item->ticket.number < last->ticket.number ||
			     (item->ticket.number == last->ticket.number &&
			      item < last)))
			continue;
		if (!best || item->ticket.number < best->ticket.number)
			best = item;
	}
	return best;
}

/** Size of the log entries that `next_head` adds, bytes. */
static size_t new_bytes(const ticket_commit_t *commit)
{
	uint64_t position = commit->head.position;
	size_t bytes = 0;

	while (position++ < commit->next_head.position)
		bytes += json_dumpb(
			ticket_head_entry(&commit->next_head, position), NULL,
			0, JSON_COMPACT);
	return bytes;
}

int ticket_batch_decide(ticket_commit_t *commit)
{
	ticket_item_t *item = NULL;
	int err;

	err = ticket_state_copy(&commit->state, &commit->next_state);
	if (!err)
		err = ticket_head_copy(&commit->head, &commit->next_head);
	/* In order of numbers, so that no ticket makes a later one stale. */
	while (!err && (item = next_undecided(commit, item))) {
		item->deferred = new_bytes(commit) > BATCH_BYTES;
		if (!item->deferred)
			err = decide_item(commit, item);
	}
	return err;
}
