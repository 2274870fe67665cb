#include "process/order_journal.h"

#include <stdio.h>
#include <string.h>

#include "process/error.h"

_Static_assert(sizeof(order_journal_t) <= ORDER_JOURNAL_SIZE_BYTES,
	       "order_journal_t has grown");

void order_journal_init(order_journal_t *journal,
			const order_settings_t *settings, rng_t *rng,
			order_journal_entry_t *entries, size_t entry_max,
			uint32_t gather_ms)
{
	memset(journal, 0, sizeof(*journal));
	journal->settings = settings;
	journal->rng = rng;
	journal->entries = entries;
	journal->entry_max = entry_max;
	journal->gather_ms = gather_ms;
}

static order_journal_action_t *add(order_journal_t *journal,
				   order_journal_actions_t *actions,
				   order_journal_action_kind_t kind)
{
	order_journal_action_t *action = &actions->items[actions->count++];

	memset(action, 0, sizeof(*action));
	action->kind = kind;
	if (kind != ORDER_JOURNAL_REPLY)
		action->call = ++journal->call;
	return action;
}

static order_journal_entry_t *find_entry(order_journal_t *journal,
					 const char *path)
{
	for (size_t i = 0; i < journal->entry_count; i++) {
		if (strcmp(journal->entries[i].path, path) == 0)
			return &journal->entries[i];
	}
	return NULL;
}

static void start_read(order_journal_t *journal,
		       order_journal_actions_t *actions)
{
	/* Reads that wait now are answered from what this read returns. */
	for (size_t i = 0; i < journal->op_count; i++)
		journal->ops[i].in_group = true;
	journal->phase = ORDER_JOURNAL_READING;
	add(journal, actions, ORDER_JOURNAL_READ);
}

static void drop_expired(order_journal_t *journal, int64_t unix_ms)
{
	size_t kept = 0;

	for (size_t i = 0; i < journal->entry_count; i++) {
		order_journal_entry_t *entry = &journal->entries[i];

		if (unix_ms - entry->record.created_unix_ms >=
		    journal->settings->retention_ms)
			continue;
		if (kept != i)
			journal->entries[kept] = *entry;
		kept++;
	}
	journal->entry_count = kept;
}

/** Applies one write to the entries and decides its result. */
static void apply(order_journal_t *journal, order_journal_op_t *op)
{
	order_journal_entry_t *entry = find_entry(journal, op->path);
	uint64_t version = entry ? entry->version : 0;

	if (version != op->if_version) {
		op->result = ERR_STORE_CONDITION;
		return;
	}
	if (!entry) {
		if (journal->entry_count == journal->entry_max) {
			op->result = ERR_STORE_BUDGET;
			return;
		}
		entry = &journal->entries[journal->entry_count++];
		memset(entry, 0, sizeof(*entry));
		memcpy(entry->path, op->path, sizeof(entry->path));
	}
	entry->version = version + 1;
	entry->record = op->record;
	op->version = entry->version;
	op->result = 0;
}

static void reply(order_journal_t *journal, order_journal_actions_t *actions,
		  const order_journal_op_t *op, int result, int64_t unix_ms)
{
	order_journal_action_t *action =
		add(journal, actions, ORDER_JOURNAL_REPLY);
	order_event_t *event = &action->reply.event;
	order_journal_entry_t *entry;

	action->reply.owner = op->owner;
	event->call = op->call;
	if (op->is_write) {
		event->kind = ORDER_EVENT_WRITTEN;
		event->written.result = result;
		event->written.version = op->version;
		return;
	}
	event->kind = ORDER_EVENT_READ;
	event->read.result = result;
	event->read.unix_ms = unix_ms;
	entry = result == 0 ? find_entry(journal, op->path) : NULL;
	if (entry) {
		event->read.version = entry->version;
		event->read.record = &entry->record;
	} else if (result == 0) {
		event->read.result = ERR_NOT_FOUND;
	}
}

static void keep_others(order_journal_t *journal,
			bool (*gone)(const order_journal_op_t *op))
{
	size_t kept = 0;

	for (size_t i = 0; i < journal->op_count; i++) {
		if (gone(&journal->ops[i]))
			continue;
		if (kept != i)
			journal->ops[kept] = journal->ops[i];
		kept++;
	}
	journal->op_count = kept;
}

static bool is_read_in_group(const order_journal_op_t *op)
{
	return op->in_group && !op->is_write;
}

static bool is_in_group(const order_journal_op_t *op)
{
	return op->in_group;
}

static bool has_reads(const order_journal_t *journal)
{
	for (size_t i = 0; i < journal->op_count; i++) {
		if (!journal->ops[i].is_write)
			return true;
	}
	return false;
}

/** Tells every order in the group the same failure. */
static void fail_group(order_journal_t *journal,
		       order_journal_actions_t *actions, int result,
		       int64_t unix_ms)
{
	for (size_t i = 0; i < journal->op_count; i++) {
		if (journal->ops[i].in_group)
			reply(journal, actions, &journal->ops[i], result,
			      unix_ms);
	}
	keep_others(journal, is_in_group);
	journal->attempts = 0;
}

/** Tells every order in the group its own result. */
static void answer_group(order_journal_t *journal,
			 order_journal_actions_t *actions, int64_t unix_ms)
{
	for (size_t i = 0; i < journal->op_count; i++) {
		if (journal->ops[i].in_group)
			reply(journal, actions, &journal->ops[i],
			      journal->ops[i].result, unix_ms);
	}
	keep_others(journal, is_in_group);
	journal->attempts = 0;
}

static void write_group(order_journal_t *journal,
			order_journal_actions_t *actions, int64_t unix_ms)
{
	order_journal_action_t *action;
	bool changed = false;

	drop_expired(journal, unix_ms);
	for (size_t i = 0; i < journal->op_count; i++) {
		journal->ops[i].in_group = true;
		apply(journal, &journal->ops[i]);
		changed |= journal->ops[i].result == 0;
	}
	if (!changed) {
		/* Conditions decided on old entries: each order reads next. */
		answer_group(journal, actions, unix_ms);
		journal->phase = ORDER_JOURNAL_IDLE;
		return;
	}
	journal->phase = ORDER_JOURNAL_WRITING;
	action = add(journal, actions, ORDER_JOURNAL_WRITE);
	action->write.if_version = journal->version;
	action->write.entries = journal->entries;
	action->write.count = journal->entry_count;
}

/** Starts the next call for the operations that wait. */
static void start_group(order_journal_t *journal,
			order_journal_actions_t *actions, int64_t unix_ms)
{
	if (!journal->op_count) {
		journal->phase = ORDER_JOURNAL_IDLE;
		return;
	}
	if (!journal->known || has_reads(journal))
		start_read(journal, actions);
	else
		write_group(journal, actions, unix_ms);
}

static void wait_for(order_journal_t *journal, order_journal_actions_t *actions,
		     uint64_t delay_ms, uint64_t now_ms)
{
	journal->phase = ORDER_JOURNAL_GATHERING;
	add(journal, actions, ORDER_JOURNAL_WAIT)->until_ms = now_ms + delay_ms;
}

int order_journal_submit(order_journal_t *journal, void *owner,
			 const char *path, const order_action_t *action,
			 uint64_t now_ms, order_journal_actions_t *actions)
{
	order_journal_op_t *op;

	actions->count = 0;
	if (journal->op_count == ORDER_JOURNAL_OPS_MAX)
		return ERR_LIMIT;
	op = &journal->ops[journal->op_count++];
	memset(op, 0, sizeof(*op));
	op->owner = owner;
	op->call = action->call;
	snprintf(op->path, sizeof(op->path), "%s", path);
	op->is_write = action->kind == ORDER_ACTION_WRITE;
	if (op->is_write) {
		op->if_version = action->write.if_version;
		op->record = action->write.record;
	}
	if (journal->phase == ORDER_JOURNAL_IDLE)
		wait_for(journal, actions, journal->gather_ms, now_ms);
	return 0;
}

void order_journal_timer(order_journal_t *journal, uint32_t call,
			 uint64_t now_ms, int64_t unix_ms,
			 order_journal_actions_t *actions)
{
	(void)now_ms;
	actions->count = 0;
	if (call != journal->call || journal->phase != ORDER_JOURNAL_GATHERING)
		return;
	start_group(journal, actions, unix_ms);
}

void order_journal_was_read(order_journal_t *journal, uint32_t call, int result,
			    uint64_t version,
			    const order_journal_entry_t *entries, size_t count,
			    uint64_t now_ms, int64_t unix_ms,
			    order_journal_actions_t *actions)
{
	actions->count = 0;
	if (call != journal->call || journal->phase != ORDER_JOURNAL_READING)
		return;
	if ((result != 0 && result != ERR_NOT_FOUND) ||
	    count > journal->entry_max) {
		/* Writes in this group were never issued. */
		journal->known = false;
		fail_group(journal, actions, ERR_STORE_DOWN, unix_ms);
		wait_for(journal, actions, journal->settings->retry_ms, now_ms);
		return;
	}
	journal->version = result == 0 ? version : 0;
	journal->entry_count = result == 0 ? count : 0;
	if (journal->entry_count)
		memcpy(journal->entries, entries, count * sizeof(*entries));
	journal->known = true;
	for (size_t i = 0; i < journal->op_count; i++) {
		if (is_read_in_group(&journal->ops[i]))
			reply(journal, actions, &journal->ops[i], 0, unix_ms);
	}
	keep_others(journal, is_read_in_group);
	if (actions->count) {
		/* The replies point into the entries: change nothing yet. */
		wait_for(journal, actions, 0, now_ms);
		return;
	}
	start_group(journal, actions, unix_ms);
}

static void after_conflict(order_journal_t *journal,
			   order_journal_actions_t *actions, uint64_t now_ms,
			   int64_t unix_ms)
{
	uint64_t spread_ms;

	journal->known = false;
	if (++journal->attempts >= ORDER_JOURNAL_ATTEMPTS_MAX) {
		fail_group(journal, actions, ERR_STORE_BUDGET, unix_ms);
		start_group(journal, actions, unix_ms);
		return;
	}
	/* Random, so that two writers do not collide again at once. */
	spread_ms =
		(uint64_t)journal->settings->retry_ms / 4 * journal->attempts;
	wait_for(journal, actions, rng_below(journal->rng, spread_ms + 1),
		 now_ms);
}

void order_journal_was_written(order_journal_t *journal, uint32_t call,
			       int result, uint64_t version, uint64_t now_ms,
			       int64_t unix_ms,
			       order_journal_actions_t *actions)
{
	actions->count = 0;
	if (call != journal->call || journal->phase != ORDER_JOURNAL_WRITING)
		return;
	switch (result) {
	case 0:
		journal->version = version;
		answer_group(journal, actions, unix_ms);
		start_group(journal, actions, unix_ms);
		return;
	case ERR_STORE_CONDITION:
		after_conflict(journal, actions, now_ms, unix_ms);
		return;
	default:
		/* The entries hold writes that may not be in the store. */
		journal->known = false;
		fail_group(journal, actions,
			   result == ERR_STORE_UNKNOWN ? ERR_STORE_UNKNOWN
						       : ERR_STORE_DOWN,
			   unix_ms);
		start_group(journal, actions, unix_ms);
		return;
	}
}
