/* Asks for tokens, and datagrams in and out. */
#include "process/allowance_private.h"

#include <math.h>

enum {
	/** An ask is repeated after this time, twice as long after the second:
	 * four asks in 300 ms. With 2.5% of datagrams lost, three in 300 ms
	 * refused 0.03% of the requests of a customer within its limit. */
	ASK_TIMEOUT_MS = 50,
	ASK_AGE_MAX_MS = 300,
	/** See DENIED_MIN_MS. */
	DENIED_MAX_MS = 500,
	/** Without an answer. */
	SILENT_PAUSE_MS = 100,
	/** Granted tokens may be spent for this long. Meanwhile the owner
	 * accrues others, so that at most the tokens of this time are available
	 * beyond the burst: 6% of rate x 8 s + burst (1 s). */
	GRANT_MS = 500,
	OVERDRAFT_CHECK_MS = 100,
	/** A part that is many shares large is sent in several datagrams, so
	 * that the loss of one is not the loss of the whole allowance. */
	PIECES = 8,
	PIECE_GAP_MS = 20,
	/** Numbers before the highest that are told apart. */
	WINDOW_BITS = 64,
	/** Clocks differ in speed by less than 1 in 5,000; the difference of
	 * two is measured again after this time, ms. */
	CLOCK_DRIFT = 5000,
	CLOCK_AGE_MAX_MS = 60000,
};

#define PART_UNITS 4294967296.0
#define AGE_UNKNOWN UINT32_MAX

/* Asks. */

void allowance_end_ask(allowance_t *allowance, allowance_customer_t *customer)
{
	if (customer->ask == ALLOWANCE_ASK_NONE)
		return;
	customer->ask = ALLOWANCE_ASK_NONE;
	customer->ask_step = 0;
	customer->ask_silent = 0;
	customer->waiting = 0;
	customer->unit = 0;
	allowance->asks_open--;
}

/* Refuses without asking for some time. */
static void expect_room(allowance_t *allowance, allowance_customer_t *customer,
			double wait_ms, uint64_t now_ms)
{
	double pause_ms = min_of(wait_ms, DENIED_MAX_MS);

	/* More than a burst is lost at the owner. */
	pause_ms =
		min_of(pause_ms, customer->burst / customer->rate_per_ms / 2);
	pause_ms *= 0.75 + 0.25 * allowance_spread(allowance);
	customer->denied_until_ms =
		now_ms + (uint64_t)max_of(pause_ms, DENIED_MIN_MS);
	customer->room_ms = now_ms + (uint64_t)wait_ms;
}

static uint64_t ask_target(const allowance_customer_t *customer)
{
	uint32_t step = OWNER_STEPS;

	if (customer->ask_step < OWNER_STEPS)
		return customer->owner;
	for (int i = 0; i < ALLOWANCE_RANKED; i++) {
		uint64_t id = customer->ranked[i];

		if (id && id != customer->owner && step++ == customer->ask_step)
			return id;
	}
	return 0;
}

/* Goes on to the next one in the order, or gives up. */
static void ask_next(allowance_t *allowance, allowance_customer_t *customer,
		     uint32_t step, uint64_t now_ms)
{
	customer->ask = ALLOWANCE_ASK_DUE;
	customer->ask_step = step;
	if (customer->ask_silent < ASKS_SILENT_MAX && ask_target(customer))
		return;
	allowance_end_ask(allowance, customer);
	expect_room(allowance, customer, SILENT_PAUSE_MS, now_ms);
}

uint64_t allowance_ask_due_ms(const allowance_customer_t *customer)
{
	return customer->ask_sent_ms +
	       (customer->ask_silent < 2 ? 1 : 2) * ASK_TIMEOUT_MS;
}

void allowance_check_timeout(allowance_t *allowance,
			     allowance_customer_t *customer, uint64_t now_ms)
{
	if (customer->ask != ALLOWANCE_ASK_SENT ||
	    now_ms < allowance_ask_due_ms(customer))
		return;
	allowance->counters.asks_lost++;
	customer->ask_silent++;
	ask_next(allowance, customer, customer->ask_step + 1, now_ms);
}

/* Datagrams received. */

/* Whether a number has not been received; each is accepted once. */
static bool accept_sequence(allowance_sender_t *sender, uint32_t sequence)
{
	uint32_t ahead = sequence - sender->sequence;
	uint32_t behind = sender->sequence - sequence;
	uint64_t bit;

	if (!sender->heard) {
		sender->heard = true;
		sender->sequence = sequence;
		sender->window = 0;
		return true;
	}
	if (!ahead)
		return false;
	if (ahead <= INT32_MAX) {
		sender->window =
			ahead < WINDOW_BITS
				? sender->window << ahead | 1ULL << (ahead - 1)
				: 0;
		if (ahead == WINDOW_BITS)
			sender->window = 1ULL << (WINDOW_BITS - 1);
		sender->sequence = sequence;
		return true;
	}
	if (behind > WINDOW_BITS)
		return false;
	bit = 1ULL << (behind - 1);
	if (sender->window & bit)
		return false;
	sender->window |= bit;
	return true;
}

static uint32_t drift_ms(const allowance_sender_t *sender, uint64_t now_ms)
{
	return (uint32_t)((now_ms - sender->clock_set_ms) / CLOCK_DRIFT);
}

/* Time since a datagram was sent, ms, or a little more. */
static uint32_t age_of(const allowance_sender_t *sender, uint32_t clock_ms,
		       uint64_t now_ms)
{
	uint32_t offset_ms = (uint32_t)now_ms - clock_ms;
	int32_t age_ms = (int32_t)(offset_ms - sender->clock_offset_ms +
				   drift_ms(sender, now_ms));

	if (!sender->clock_known)
		return AGE_UNKNOWN;
	return age_ms > 0 ? (uint32_t)age_ms : 0;
}

/* What is sent to a process is younger than it: after a restart of all this
 * bounds the age of what arrives before the clocks are known. */
static uint32_t age_max(const allowance_t *allowance, uint64_t now_ms)
{
	uint64_t age_ms = now_ms - allowance->started_ms;

	return age_ms < YOUNG_MS ? (uint32_t)age_ms : AGE_UNKNOWN;
}

/* An answer was sent after its ask, which bounds the difference of clocks. */
static void learn_clock(allowance_sender_t *sender,
			const allowance_message_t *answer, uint64_t now_ms)
{
	uint32_t offset_ms = (uint32_t)sender->asked_ms - answer->clock_ms;

	if (answer->answered != sender->asked_sequence)
		return;
	if (sender->clock_known &&
	    (int32_t)(offset_ms - sender->clock_offset_ms +
		      drift_ms(sender, now_ms)) < 0)
		return;
	sender->clock_known = true;
	sender->clock_offset_ms = offset_ms;
	sender->clock_set_ms = now_ms;
}

static allowance_reply_t *add_reply(allowance_t *allowance)
{
	size_t last = allowance->reply_first + allowance->reply_count;

	if (allowance->reply_count == ALLOWANCE_REPLIES_MAX)
		return NULL;
	allowance->reply_count++;
	return &allowance->replies[last % ALLOWANCE_REPLIES_MAX];
}

/* Sends an ask without entries, to learn the clock of the sender. */
static void ask_clock(allowance_t *allowance, allowance_sender_t *sender,
		      uint64_t now_ms)
{
	allowance_reply_t *reply;

	if (sender->clock_known &&
	    now_ms < sender->clock_set_ms + CLOCK_AGE_MAX_MS)
		return;
	if (sender->asked_sequence && now_ms < sender->asked_ms + PIECE_GAP_MS)
		return;
	reply = add_reply(allowance);
	if (!reply)
		return;
	sender->asked_ms = now_ms;
	reply->to_id = sender->id;
	reply->message.kind = ALLOWANCE_ASK;
	reply->message.receiver = sender->incarnation;
	reply->message.answered = 0;
	reply->message.count = 0;
}

static allowance_customer_t *find_limited(allowance_t *allowance, uint64_t key,
					  uint64_t now_ms)
{
	allowance_customer_t *customer =
		allowance_find_customer(allowance, key);

	if (!customer) {
		allowance->counters.no_customer++;
		return NULL;
	}
	allowance_update(allowance, customer, now_ms);
	return customer;
}

static void grant(allowance_t *allowance, const allowance_entry_t *ask,
		  allowance_entry_t *answer, uint64_t now_ms)
{
	allowance_customer_t *customer =
		find_limited(allowance, ask->customer, now_ms);
	double wanted = ask->tokens;
	double unit = ask->unit ? min_of(ask->unit, wanted) : 1;
	double drawn;

	*answer = (allowance_entry_t){ .customer = ask->customer };
	if (!customer || !customer->limited || !ask->tokens)
		return;
	drawn = allowance_draw(customer, wanted, unit, now_ms);
	answer->tokens = to_u32(drawn);
	if (drawn >= wanted || !allowance_is_owner(allowance, customer) ||
	    allowance_is_fresh_owner(allowance, customer, now_ms))
		return;
	answer->wait_ms =
		to_u32(allowance_wait_for_room(customer, unit, now_ms));
	allowance_deny(customer, wanted - drawn, unit, now_ms);
}

static void receive_ask(allowance_t *allowance, const allowance_message_t *ask,
			uint64_t from_id, uint64_t now_ms)
{
	allowance_reply_t *reply = add_reply(allowance);

	if (!reply) {
		allowance->counters.dropped++;
		return;
	}
	reply->to_id = from_id;
	reply->message.kind = ALLOWANCE_GRANT;
	reply->message.receiver = ask->incarnation;
	reply->message.answered = ask->sequence;
	reply->message.count = ask->count;
	for (uint32_t i = 0; i < ask->count; i++)
		grant(allowance, &ask->entries[i], &reply->message.entries[i],
		      now_ms);
}

static void return_late(allowance_t *allowance, allowance_customer_t *customer,
			double tokens)
{
	allowance->counters.grants_late++;
	if (!customer->limited)
		return;
	customer->returned += tokens;
	if (allowance_is_owner(allowance, customer))
		allowance_merge_returned(customer);
}

/* Whether it answers one of the asks for the requests that are held. */
static bool answers_ask(const allowance_customer_t *customer, uint64_t from_id,
			uint32_t answered)
{
	return customer->ask != ALLOWANCE_ASK_NONE &&
	       customer->ask_target == from_id &&
	       answered - customer->ask_first_sequence <=
		       customer->ask_sequence - customer->ask_first_sequence;
}

static void receive_grant(allowance_t *allowance, uint64_t from_id,
			  uint32_t answered, const allowance_entry_t *grant,
			  uint64_t now_ms)
{
	allowance_customer_t *customer =
		find_limited(allowance, grant->customer, now_ms);

	if (!customer)
		return;
	allowance_check_timeout(allowance, customer, now_ms);
	if (!answers_ask(customer, from_id, answered)) {
		return_late(allowance, customer, grant->tokens);
		return;
	}
	if (!grant->tokens && !grant->wait_ms) {
		ask_next(allowance, customer,
			 customer->ask_step < OWNER_STEPS
				 ? OWNER_STEPS
				 : customer->ask_step + 1,
			 now_ms);
		return;
	}
	if (grant->tokens)
		allowance->counters.grants++;
	else
		allowance->counters.denials++;
	customer->granted += grant->tokens;
	customer->granted_until_ms = now_ms + GRANT_MS;
	allowance_end_ask(allowance, customer);
	if (grant->wait_ms)
		expect_room(allowance, customer,
			    min_of(grant->wait_ms, BACKLOG_MAX_MS), now_ms);
}

/*
 * A part that was on the way for long has converged to 0 meanwhile, since those
 * of the others have grown.
 */
static void receive_parts(allowance_t *allowance,
			  const allowance_entry_t *entry, uint32_t late_ms,
			  uint64_t now_ms)
{
	allowance_customer_t *customer =
		find_limited(allowance, entry->customer, now_ms);
	double converge = (double)allowance->converge_min_ms;
	bool was_large;

	if (!customer)
		return;
	was_large = allowance_is_large(allowance, customer);
	customer->part +=
		entry->part / PART_UNITS * exp(-(double)late_ms / converge);
	if (!customer->limited)
		return;
	customer->tokens += entry->tokens;
	allowance_cap_tokens(customer);
	if (!customer->pieces &&
	    (allowance->stopping ||
	     (!was_large && allowance_is_large(allowance, customer))))
		allowance_plan_transfer(allowance, customer, false, now_ms);
}

void allowance_receive(allowance_t *allowance, uint64_t from_id,
		       const allowance_message_t *message, uint64_t now_ms)
{
	allowance_sender_t *sender = allowance_find_sender(allowance, from_id);
	uint32_t late_ms;

	allowance_tick(allowance, now_ms);
	if (message->receiver != allowance->incarnation) {
		allowance->counters.dropped++;
		return;
	}
	if (!sender || sender->incarnation != message->incarnation) {
		/* One that has just started, and that is not known yet. To
		 * answer twice loses tokens and doubles none. */
		if (message->kind == ALLOWANCE_ASK)
			receive_ask(allowance, message, from_id, now_ms);
		else
			allowance->counters.dropped++;
		return;
	}
	if (!accept_sequence(sender, message->sequence)) {
		allowance->counters.dropped++;
		return;
	}
	late_ms = age_of(sender, message->clock_ms, now_ms);
	if (message->kind == ALLOWANCE_ASK) {
		/* An ask that is older has been given up. */
		if (late_ms == AGE_UNKNOWN || late_ms < ASK_AGE_MAX_MS)
			receive_ask(allowance, message, from_id, now_ms);
		return;
	}
	if (message->kind == ALLOWANCE_GRANT) {
		learn_clock(sender, message, now_ms);
	} else {
		ask_clock(allowance, sender, now_ms);
		if (late_ms == AGE_UNKNOWN)
			late_ms = age_max(allowance, now_ms);
		if (late_ms == AGE_UNKNOWN) {
			allowance->counters.parts_unaged += message->count;
			return;
		}
	}
	for (uint32_t i = 0; i < message->count; i++) {
		const allowance_entry_t *entry = &message->entries[i];

		if (message->kind == ALLOWANCE_GRANT)
			receive_grant(allowance, from_id, message->answered,
				      entry, now_ms);
		else
			receive_parts(allowance, entry, late_ms, now_ms);
	}
}

/* Datagrams to be sent. */

static void seal(allowance_t *allowance, allowance_message_t *message,
		 uint64_t now_ms)
{
	message->incarnation = allowance->incarnation;
	message->sequence = ++allowance->sequence;
	message->clock_ms = (uint32_t)now_ms;
}

static void note_ask(allowance_t *allowance, const allowance_message_t *ask,
		     uint64_t to_id, uint64_t now_ms)
{
	allowance_sender_t *peer = allowance_find_sender(allowance, to_id);

	if (!peer)
		return;
	peer->asked_sequence = ask->sequence;
	peer->asked_ms = now_ms;
}

static void start_message(allowance_t *allowance, allowance_message_t *message,
			  allowance_kind_t kind, uint64_t to_id,
			  uint64_t now_ms)
{
	const allowance_sender_t *peer =
		allowance_find_sender(allowance, to_id);

	message->kind = kind;
	message->receiver = peer ? peer->incarnation : 0;
	message->answered = 0;
	message->count = 0;
	seal(allowance, message, now_ms);
	if (kind == ALLOWANCE_ASK)
		note_ask(allowance, message, to_id, now_ms);
}

static bool next_reply(allowance_t *allowance, uint64_t now_ms, uint64_t *to_id,
		       allowance_message_t *message)
{
	const allowance_reply_t *reply =
		&allowance->replies[allowance->reply_first];

	if (!allowance->reply_count)
		return false;
	*to_id = reply->to_id;
	*message = reply->message;
	allowance->reply_first =
		(allowance->reply_first + 1) % ALLOWANCE_REPLIES_MAX;
	allowance->reply_count--;
	seal(allowance, message, now_ms);
	if (message->kind == ALLOWANCE_ASK)
		note_ask(allowance, message, *to_id, now_ms);
	return true;
}

/* What the held requests need, and as much as was requested lately. */
static void write_ask(allowance_t *allowance, allowance_customer_t *customer,
		      allowance_message_t *message, uint64_t now_ms)
{
	double wanted = max_of(customer->waiting,
			       allowance_recent_demand(customer, now_ms));

	if (!customer->ask_silent)
		customer->ask_first_sequence = message->sequence;
	customer->ask = ALLOWANCE_ASK_SENT;
	customer->ask_counts_held = false;
	customer->ask_sequence = message->sequence;
	customer->ask_sent_ms = now_ms;
	message->entries[message->count++] = (allowance_entry_t){
		.customer = customer->key,
		.tokens = to_u32(max_of(1, ceil(wanted - customer->granted))),
		.unit = to_u32(max_of(1, ceil(customer->unit))),
	};
	allowance->counters.asks++;
}

static bool next_ask(allowance_t *allowance, uint64_t now_ms, uint64_t *to_id,
		     allowance_message_t *message)
{
	bool found = false;

	if (!allowance->asks_open)
		return false;
	for (size_t i = 0; i < allowance->customer_count; i++) {
		allowance_customer_t *customer = &allowance->customers[i];

		allowance_check_timeout(allowance, customer, now_ms);
		if (customer->ask != ALLOWANCE_ASK_DUE)
			continue;
		customer->ask_target = ask_target(customer);
		if (!customer->ask_target) {
			allowance_end_ask(allowance, customer);
			expect_room(allowance, customer, SILENT_PAUSE_MS,
				    now_ms);
			continue;
		}
		if (found && customer->ask_target != *to_id)
			continue;
		if (!found) {
			*to_id = customer->ask_target;
			start_message(allowance, message, ALLOWANCE_ASK, *to_id,
				      now_ms);
			found = true;
		}
		allowance_update(allowance, customer, now_ms);
		write_ask(allowance, customer, message, now_ms);
		if (message->count == ALLOWANCE_ENTRIES_MAX)
			break;
	}
	return found;
}

/* Plans the datagram after this one, and returns the number that are left with
 * this one. */
static uint32_t count_pieces(allowance_t *allowance,
			     allowance_customer_t *customer, uint64_t now_ms)
{
	uint32_t pieces = customer->pieces;

	if (!pieces)
		pieces = allowance_is_large(allowance, customer) ? PIECES + 1
								 : 1;
	customer->pieces = pieces - 1;
	customer->parts_due_ms =
		customer->pieces ? now_ms + PIECE_GAP_MS
				 : allowance_next_due_ms(
					   allowance, customer->owner, now_ms);
	return pieces;
}

/*
 * Takes what is to be sent out of the customer; false if there is nothing. The
 * first of several datagrams is empty: the receiver may have to ask for the
 * clock.
 */
static bool write_part(allowance_t *allowance, allowance_customer_t *customer,
		       allowance_entry_t *entry, uint64_t now_ms)
{
	uint32_t pieces;
	double part;
	double tokens;
	double returned;

	allowance_update(allowance, customer, now_ms);
	/* The part stays until it has repaid an overdraft. */
	if (customer->tokens < 0) {
		customer->parts_due_ms = now_ms + OVERDRAFT_CHECK_MS;
		return false;
	}
	*entry = (allowance_entry_t){ .customer = customer->key };
	pieces = count_pieces(allowance, customer, now_ms);
	if (pieces > PIECES)
		return true;
	part = customer->part / pieces;
	tokens = floor(
		min_of(customer->tokens + customer->returned, customer->burst) /
		pieces);
	returned = min_of(tokens, customer->returned);
	entry->part = to_u32(part * PART_UNITS);
	entry->tokens = to_u32(tokens);
	customer->part -= part;
	customer->returned -= returned;
	customer->tokens -= tokens - returned;
	if (pieces == 1) {
		/* Fractions of a token add up. */
		customer->returned = min_of(
			customer->returned + customer->tokens, customer->burst);
		customer->part = 0;
		customer->tokens = 0;
	}
	return entry->part || entry->tokens;
}

static bool next_parts(allowance_t *allowance, uint64_t now_ms, uint64_t *to_id,
		       allowance_message_t *message)
{
	uint64_t due_ms = UINT64_MAX;
	bool found = false;

	if (now_ms < allowance->parts_due_ms)
		return false;
	for (size_t i = 0; i < allowance->customer_count; i++) {
		allowance_customer_t *customer = &allowance->customers[i];
		allowance_entry_t entry;

		if (customer->parts_due_ms <= now_ms &&
		    (!found || (customer->owner == *to_id &&
				message->count < ALLOWANCE_ENTRIES_MAX)) &&
		    write_part(allowance, customer, &entry, now_ms)) {
			*to_id = customer->owner;
			if (!found)
				start_message(allowance, message,
					      ALLOWANCE_PARTS, *to_id, now_ms);
			found = true;
			message->entries[message->count++] = entry;
			allowance->counters.parts_sent++;
		}
		if (customer->parts_due_ms < due_ms)
			due_ms = customer->parts_due_ms;
	}
	allowance->parts_due_ms = due_ms;
	return found;
}

bool allowance_next_message(allowance_t *allowance, uint64_t now_ms,
			    uint64_t *to_id, allowance_message_t *message)
{
	allowance_tick(allowance, now_ms);
	return next_reply(allowance, now_ms, to_id, message) ||
	       next_ask(allowance, now_ms, to_id, message) ||
	       next_parts(allowance, now_ms, to_id, message);
}
