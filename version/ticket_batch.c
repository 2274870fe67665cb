#include "version/ticket_batch.h"

#include "process/error.h"

enum {
	/** One head update takes no further tickets above this size. */
	BATCH_BYTES = 100000,
};

static uint64_t max_position(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

/** Whether the entry of a passed ticket may be in a page not yet read. */
static bool needs_page(const ticket_commit_t *commit, const ticket_item_t *item)
{
	uint64_t since = max_position(item->since, commit->head.log_position);

	if (item->maybe)
		since = max_position(since, item->maybe_position);
	return !item->final && since < ticket_head_start(&commit->head) &&
	       ticket_is_passed(&commit->state, &item->ticket) &&
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

/** Corrects a decision about a ticket whose update may have been lost. */
static void resolve_lost_update(const ticket_commit_t *commit,
				ticket_item_t *item)
{
	ticket_result_t *result = &item->result;

	if (!item->maybe)
		return;
	if (!result->err) {
		/* It is this request that was accepted. */
		result->repeated = false;
		return;
	}
	/* The log must cover everything since the lost update. */
	if (commit->head.position != item->maybe_position &&
	    !ticket_head_entry(&commit->head, item->maybe_position + 1))
		result->err = ERR_STORE_UNKNOWN;
}

/**
 * Decides about one ticket on top of those accepted before it.
 * @return 0 or ERR_NO_MEMORY
 */
static int decide_item(ticket_commit_t *commit, ticket_item_t *item)
{
	ticket_state_t trial = { 0 };
	config_t *config = NULL;
	int err;

	if (!ticket_decide(&commit->next_head, &commit->next, &item->ticket,
			   &item->result)) {
		resolve_lost_update(commit, item);
		return 0;
	}
	/* The head moved on without the ticket: the update has failed. */
	if (commit->head.position > item->maybe_position)
		item->maybe = false;
	err = ticket_state_copy(&commit->next, &trial);
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
	ticket_state_free(&commit->next);
	commit->next = trial;
	item->result.position = trial.position;
	return ticket_head_append(&commit->next_head, &item->ticket,
				  commit->at_unix_ms);
}

/** Item with the lowest number above `number` that has no final result. */
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

/** Size of the entries that the next head adds, bytes. */
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

	err = ticket_state_copy(&commit->state, &commit->next);
	if (!err)
		err = ticket_head_copy(&commit->head, &commit->next_head);
	/* In order of numbers, so that none in the batch makes another stale */
	while (!err && (item = next_undecided(commit, item))) {
		item->deferred = new_bytes(commit) > BATCH_BYTES;
		if (!item->deferred)
			err = decide_item(commit, item);
	}
	return err;
}
