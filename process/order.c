#include "process/order.h"

#include <stdio.h>
#include <string.h>

#include "process/error.h"

_Static_assert(sizeof(order_t) <= ORDER_SIZE_BYTES,
	       "order_t exceeds ORDER_SIZE_BYTES");

/**
 * Store calls that may fail before a request whose key already has a record is
 * answered with an error.
 */
#define REPEAT_ATTEMPTS_MAX 4

const order_settings_t order_default_settings = {
	.send_window_ms = 2000,
	.endpoint_timeout_ms = 30000,
	.clock_drift_ms = 2000,
	.retry_ms = 50,
	.retry_max_ms = 5000,
	.answer_wait_ms = 500,
	.record_retry_ms = 600000,
	.retention_ms = 24LL * 3600 * 1000,
};

static order_action_t *add(order_actions_t *actions, order_action_kind_t kind)
{
	order_action_t *action = &actions->items[actions->count++];

	memset(action, 0, sizeof(*action));
	action->kind = kind;
	return action;
}

/** Adds an action with a new call id, which its result must contain. */
static order_action_t *add_call(order_t *order, order_actions_t *actions,
				order_action_kind_t kind, order_phase_t phase)
{
	order_action_t *action = add(actions, kind);

	action->call_id = ++order->call_id;
	order->phase = phase;
	return action;
}

static void add_write(order_t *order, order_actions_t *actions,
		      const order_record_t *record, order_phase_t phase)
{
	order_action_t *action =
		add_call(order, actions, ORDER_ACTION_WRITE, phase);

	action->write.if_version = order->version;
	action->write.record = *record;
}

static void add_wait(order_t *order, order_actions_t *actions,
		     order_phase_t phase, uint64_t now_ms)
{
	uint64_t delay_ms = order->settings->retry_ms;

	for (uint32_t i = 1; i < order->attempts; i++) {
		delay_ms *= 2;
		if (delay_ms >= order->settings->retry_max_ms)
			break;
	}
	if (delay_ms > order->settings->retry_max_ms)
		delay_ms = order->settings->retry_max_ms;
	add_call(order, actions, ORDER_ACTION_WAIT, phase)->wait.deadline_ms =
		now_ms + delay_ms;
}

static void finish(order_t *order, order_actions_t *actions, bool recorded)
{
	order->phase = ORDER_PHASE_FINISHED;
	add(actions, ORDER_ACTION_FINISH)->finish.recorded = recorded;
}

static void answer_client(order_t *order, order_actions_t *actions, int err,
			  const order_answer_t *answer, bool from_record)
{
	order_action_t *action;

	if (order->client_answered)
		return;
	order->client_answered = true;
	action = add(actions, ORDER_ACTION_ANSWER);
	action->answer.err = err;
	action->answer.answer = answer;
	action->answer.from_record = from_record;
}

/** Answers with `err` and ends the order; writes nothing. */
static void finish_with_error(order_t *order, order_actions_t *actions, int err)
{
	answer_client(order, actions, err, NULL, false);
	finish(order, actions, true);
}

static void start_recording(order_t *order, order_actions_t *actions,
			    uint64_t now_ms)
{
	order->attempts = 0;
	order->record_deadline_ms = now_ms + order->settings->record_retry_ms;
	add_write(order, actions, &order->outcome, ORDER_PHASE_RECORD_WRITE);
}

/**
 * Records the outcome, and answers when the first write has ended: a repeat
 * that follows the answer must not find the claim open.
 */
static void record_and_answer(order_t *order, order_actions_t *actions, int err,
			      const order_answer_t *answer, uint64_t now_ms)
{
	order->answer_err = err;
	order->answer = answer;
	start_recording(order, actions, now_ms);
	actions->items[actions->count - 1].write.limit_ms =
		order->settings->answer_wait_ms;
}

/**
 * Sets the outcome of our own claim that is ended without sending. The
 * recording phases never lead back to a send, so "not run" holds whether or not
 * the claim was written. If a claim write is still in flight, the record of
 * this outcome makes its condition fail.
 */
static void set_not_run(order_t *order)
{
	order->outcome = order->claim;
	order->outcome.state = ORDER_STATE_NOT_RUN;
}

/** Ends our own claim, which is in the store. */
static void abandon_claim(order_t *order, order_actions_t *actions, int err,
			  uint64_t now_ms)
{
	set_not_run(order);
	record_and_answer(order, actions, err, NULL, now_ms);
}

/** Ends our own claim while the store does not answer, and does not wait. */
static void abandon_unconfirmed_claim(order_t *order, order_actions_t *actions,
				      int err, uint64_t now_ms)
{
	/* A request without endpoints has written no claim. */
	if (!order->claim.endpoint_count) {
		finish_with_error(order, actions, ERR_NO_ENDPOINT);
		return;
	}
	set_not_run(order);
	answer_client(order, actions, err, NULL, false);
	start_recording(order, actions, now_ms);
}

static void connect_next(order_t *order, order_actions_t *actions)
{
	order_action_t *action = add_call(order, actions, ORDER_ACTION_CONNECT,
					  ORDER_PHASE_CONNECTING);

	action->connect.endpoint = order->claim.endpoints[order->endpoint];
	action->connect.send_by_ms = order->send_by_ms;
}

/** Continues once the record with our nonce is in the store. */
static void on_claimed(order_t *order, order_actions_t *actions,
		       uint64_t version, uint64_t now_ms)
{
	order->version = version;
	order->attempts = 0;
	if (now_ms >= order->send_by_ms) {
		abandon_claim(order, actions, ERR_ORDER_NOT_RUN, now_ms);
		return;
	}
	connect_next(order, actions);
}

static void write_claim(order_t *order, order_actions_t *actions)
{
	if (!order->claim.endpoint_count) {
		finish_with_error(order, actions, ERR_NO_ENDPOINT);
		return;
	}
	add_write(order, actions, &order->claim, ORDER_PHASE_CLAIM_WRITE);
}

static void read_claim(order_t *order, order_actions_t *actions)
{
	add_call(order, actions, ORDER_ACTION_READ, ORDER_PHASE_CLAIM_READ);
}

static int check_request(const order_request_t *request)
{
	if (!request->key || !*request->key)
		return ERR_KEY_MISSING;
	if (strlen(request->key) > ORDER_KEY_MAX_BYTES ||
	    strlen(request->customer) >= ORDER_ID_MAX_BYTES)
		return ERR_BAD_FIELD;
	return 0;
}

static void build_claim(order_t *order, const order_request_t *request)
{
	const order_settings_t *settings = order->settings;
	order_record_t *claim = &order->claim;
	char key_hash[HASH_DIGEST_HEX_BYTES];

	hash_digest_hex(request->key, strlen(request->key), key_hash);
	snprintf(order->path, sizeof(order->path), "order/%s/%s",
		 request->customer, key_hash);
	claim->state = ORDER_STATE_OPEN;
	claim->nonce = request->nonce;
	claim->claim_fencing = 1;
	claim->fencing = 1;
	claim->created_unix_ms = request->unix_ms;
	claim->valid_ms = settings->send_window_ms +
			  settings->endpoint_timeout_ms +
			  settings->clock_drift_ms;
	snprintf(claim->digest, sizeof(claim->digest), "%s", request->digest);
	snprintf(claim->owner, sizeof(claim->owner), "%s", request->owner);
	claim->provable = request->endpoints_check_fencing;
	for (size_t i = 0;
	     i < request->endpoint_count && i < ORDER_ENDPOINTS_MAX; i++)
		snprintf(claim->endpoints[claim->endpoint_count++],
			 ORDER_ID_MAX_BYTES, "%s", request->endpoints[i]);
}

void order_begin(order_t *order, const order_settings_t *settings,
		 const order_request_t *request, uint64_t now_ms,
		 order_actions_t *actions)
{
	int err = check_request(request);

	memset(order, 0, sizeof(*order));
	actions->count = 0;
	order->settings = settings;
	if (err < 0) {
		finish_with_error(order, actions, err);
		return;
	}
	/*
	 * Counted from before the claim is written, so that the send window
	 * ends here before others may close the claim.
	 */
	order->send_by_ms = now_ms + settings->send_window_ms;
	build_claim(order, request);
	/* Without an endpoint, a repeated key still gets the stored outcome. */
	if (request->endpoint_count)
		write_claim(order, actions);
	else
		read_claim(order, actions);
}

static bool is_closed(const order_record_t *record)
{
	return record->fencing > record->claim_fencing;
}

static void query_endpoint(order_t *order, order_actions_t *actions)
{
	order_action_t *action = add_call(order, actions, ORDER_ACTION_QUERY,
					  ORDER_PHASE_QUERYING);

	action->query.endpoint = order->outcome.endpoints[order->endpoint];
	action->query.fencing = order->outcome.fencing;
}

static void start_querying(order_t *order, order_actions_t *actions)
{
	order->endpoint = 0;
	query_endpoint(order, actions);
}

/** Closes the claim in `record`, ours or another's; it is never sent again. */
static void close_claim(order_t *order, order_actions_t *actions,
			const order_record_t *record)
{
	order->outcome = *record;
	order->outcome.state = ORDER_STATE_UNKNOWN;
	if (record->provable)
		order->outcome.fencing++;
	add_write(order, actions, &order->outcome, ORDER_PHASE_CLOSE_WRITE);
}

/** Claims a key again whose last claim did not run. */
static void claim_again(order_t *order, order_actions_t *actions,
			const order_record_t *record, uint64_t now_ms)
{
	if (now_ms >= order->send_by_ms) {
		finish_with_error(order, actions, ERR_ORDER_NOT_RUN);
		return;
	}
	order->record_exists = false;
	order->may_only_close = false;
	order->claim.claim_fencing = record->fencing + 1;
	order->claim.fencing = record->fencing + 1;
	write_claim(order, actions);
}

/** Handles a record that another request wrote for the key. */
static void handle_other_record(order_t *order, order_actions_t *actions,
				const order_event_t *event, uint64_t now_ms)
{
	const order_record_t *record = event->read.record;

	/* A "not run" record must not replace this version. */
	order->version = event->read.version;
	order->may_only_close = true;
	if (strcmp(record->digest, order->claim.digest) != 0) {
		finish_with_error(order, actions, ERR_KEY_REUSED);
		return;
	}
	switch (record->state) {
	case ORDER_STATE_DONE:
		answer_client(order, actions, 0, record->answer, true);
		finish(order, actions, true);
		return;
	case ORDER_STATE_NOT_RUN:
		claim_again(order, actions, record, now_ms);
		return;
	case ORDER_STATE_UNKNOWN:
		if (!record->provable || !is_closed(record)) {
			finish_with_error(order, actions, ERR_ORDER_UNKNOWN);
			return;
		}
		order->outcome = *record;
		start_querying(order, actions);
		return;
	case ORDER_STATE_OPEN:
		if (event->read.unchanged_ms < record->valid_ms)
			finish_with_error(order, actions,
					  ERR_ORDER_IN_PROGRESS);
		else
			close_claim(order, actions, record);
		return;
	}
}

/** Retries after a delay, or gives up the claim. */
static void retry_claim(order_t *order, order_actions_t *actions,
			uint64_t now_ms)
{
	bool is_repeat = order->record_exists || order->may_only_close;

	order->attempts++;
	if (now_ms < order->send_by_ms &&
	    !(is_repeat && order->attempts >= REPEAT_ATTEMPTS_MAX)) {
		add_wait(order, actions, ORDER_PHASE_CLAIM_WAIT, now_ms);
		return;
	}
	if (order->may_only_close || (is_repeat && !order->claim_write_unknown))
		finish_with_error(order, actions, ERR_ORDER_IN_PROGRESS);
	else
		abandon_unconfirmed_claim(order, actions,
					  is_repeat ? ERR_ORDER_IN_PROGRESS
						    : ERR_ORDER_NOT_RUN,
					  now_ms);
}

static void on_claim_written(order_t *order, const order_event_t *event,
			     uint64_t now_ms, order_actions_t *actions)
{
	switch (event->written.result) {
	case 0:
		on_claimed(order, actions, event->written.version, now_ms);
		return;
	case ERR_STORE_CONDITION:
		order->record_exists = true;
		read_claim(order, actions);
		return;
	case ERR_STORE_DOWN:
	case ERR_STORE_BUDGET:
		/* An earlier write of this claim may still take effect. */
		if (order->claim_write_unknown)
			abandon_unconfirmed_claim(order, actions,
						  ERR_STORE_DOWN, now_ms);
		else
			finish_with_error(order, actions, ERR_STORE_DOWN);
		return;
	default:
		order->claim_write_unknown = true;
		order->attempts++;
		read_claim(order, actions);
		return;
	}
}

static void on_claim_read(order_t *order, const order_event_t *event,
			  uint64_t now_ms, order_actions_t *actions)
{
	const order_record_t *record = event->read.record;

	if (event->read.result == ERR_NOT_FOUND) {
		order->record_exists = false;
		order->may_only_close = false;
		order->version = 0;
		if (now_ms >= order->send_by_ms)
			abandon_unconfirmed_claim(order, actions,
						  ERR_ORDER_NOT_RUN, now_ms);
		else
			write_claim(order, actions);
		return;
	}
	if (event->read.result != 0) {
		retry_claim(order, actions, now_ms);
		return;
	}
	if (record->nonce != order->claim.nonce) {
		handle_other_record(order, actions, event, now_ms);
		return;
	}
	if (record->state == ORDER_STATE_OPEN) {
		on_claimed(order, actions, event->read.version, now_ms);
		return;
	}
	/*
	 * Another instance closed it after the store's answer to our claim was
	 * lost; we have not sent.
	 */
	order->version = event->read.version;
	/* Never lower a fencing number that another instance raised. */
	order->claim.fencing = record->fencing;
	abandon_claim(order, actions, ERR_ORDER_NOT_RUN, now_ms);
}

static void on_connected(order_t *order, uint64_t now_ms,
			 order_actions_t *actions)
{
	if (now_ms >= order->send_by_ms) {
		add(actions, ORDER_ACTION_CLOSE);
		abandon_claim(order, actions, ERR_ORDER_NOT_RUN, now_ms);
		return;
	}
	order->sent = true;
	order->phase = ORDER_PHASE_SENT;
	add(actions, ORDER_ACTION_SEND)->send.fencing =
		order->claim.claim_fencing;
}

static void on_connect_failed(order_t *order, uint64_t now_ms,
			      order_actions_t *actions)
{
	order->endpoint++;
	if (order->endpoint >= order->claim.endpoint_count)
		abandon_claim(order, actions, ERR_CONNECT, now_ms);
	else if (now_ms >= order->send_by_ms)
		abandon_claim(order, actions, ERR_ORDER_NOT_RUN, now_ms);
	else
		connect_next(order, actions);
}

static void on_answered(order_t *order, const order_event_t *event,
			uint64_t now_ms, order_actions_t *actions)
{
	const order_answer_t *answer = event->answered.answer;

	order->outcome = order->claim;
	if (event->answered.not_run) {
		order->outcome.state = ORDER_STATE_NOT_RUN;
		record_and_answer(order, actions, ERR_ORDER_NOT_RUN, NULL,
				  now_ms);
		return;
	}
	order->outcome.state = ORDER_STATE_DONE;
	order->outcome.answer = answer;
	if (answer->body_bytes > ORDER_BODY_MAX_BYTES) {
		order->trimmed_answer = *answer;
		order->trimmed_answer.body = NULL;
		order->trimmed_answer.body_bytes = 0;
		order->trimmed_answer.body_omitted = true;
		order->outcome.answer = &order->trimmed_answer;
	}
	record_and_answer(order, actions, 0, answer, now_ms);
}

static void on_answer_lost(order_t *order, uint64_t now_ms,
			   order_actions_t *actions)
{
	order->outcome = order->claim;
	order->outcome.state = ORDER_STATE_UNKNOWN;
	if (order->claim.provable) {
		close_claim(order, actions, &order->claim);
		return;
	}
	record_and_answer(order, actions, ERR_ORDER_UNKNOWN, NULL, now_ms);
}

static void on_close_written(order_t *order, const order_event_t *event,
			     uint64_t now_ms, order_actions_t *actions)
{
	if (event->written.result == 0) {
		order->version = event->written.version;
		if (order->outcome.provable)
			start_querying(order, actions);
		else
			finish_with_error(order, actions, ERR_ORDER_UNKNOWN);
		return;
	}
	if (order->sent) {
		/*
		 * The raised fencing number may not be in the store, so an
		 * endpoint's answer would prove nothing.
		 */
		answer_client(order, actions, ERR_ORDER_UNKNOWN, NULL, false);
		order->outcome.fencing = order->claim.fencing;
		start_recording(order, actions, now_ms);
		return;
	}
	/*
	 * Another instance may have closed it, or the answer was lost: read the
	 * record again.
	 */
	if (++order->attempts >= REPEAT_ATTEMPTS_MAX)
		finish_with_error(order, actions, ERR_ORDER_UNKNOWN);
	else
		add_wait(order, actions, ORDER_PHASE_CLAIM_WAIT, now_ms);
}

static void on_queried(order_t *order, const order_event_t *event,
		       uint64_t now_ms, order_actions_t *actions)
{
	if (event->queried.proof != ORDER_PROOF_NOT_RUN) {
		finish_with_error(order, actions, ERR_ORDER_UNKNOWN);
		return;
	}
	if (++order->endpoint < order->outcome.endpoint_count) {
		query_endpoint(order, actions);
		return;
	}
	order->outcome.state = ORDER_STATE_NOT_RUN;
	record_and_answer(order, actions, ERR_ORDER_NOT_RUN, NULL, now_ms);
}

static void retry_record(order_t *order, order_actions_t *actions,
			 uint64_t now_ms)
{
	order->attempts++;
	if (now_ms >= order->record_deadline_ms)
		finish(order, actions, false);
	else
		add_wait(order, actions, ORDER_PHASE_RECORD_WAIT, now_ms);
}

static void on_record_written(order_t *order, const order_event_t *event,
			      uint64_t now_ms, order_actions_t *actions)
{
	answer_client(order, actions, order->answer_err, order->answer, false);
	switch (event->written.result) {
	case 0:
		finish(order, actions, true);
		return;
	case ERR_STORE_CONDITION:
		add_call(order, actions, ORDER_ACTION_READ,
			 ORDER_PHASE_RECORD_READ);
		return;
	default:
		retry_record(order, actions, now_ms);
		return;
	}
}

/** Whether the outcome we know may replace the one that is stored. */
static bool supersedes(const order_record_t *outcome,
		       const order_record_t *stored)
{
	if (stored->state == ORDER_STATE_OPEN)
		return true;
	return stored->state == ORDER_STATE_UNKNOWN &&
	       outcome->state != ORDER_STATE_UNKNOWN;
}

static void on_record_read(order_t *order, const order_event_t *event,
			   uint64_t now_ms, order_actions_t *actions)
{
	const order_record_t *record = event->read.record;

	if (event->read.result == ERR_NOT_FOUND) {
		/*
		 * Write only if no claim of ours is known to have been stored;
		 * otherwise the record has been removed since.
		 */
		if (order->outcome.state == ORDER_STATE_NOT_RUN &&
		    !order->version)
			add_write(order, actions, &order->outcome,
				  ORDER_PHASE_RECORD_WRITE);
		else
			finish(order, actions, false);
		return;
	}
	if (event->read.result != 0) {
		retry_record(order, actions, now_ms);
		return;
	}
	if (record->nonce != order->outcome.nonce) {
		/*
		 * If we claimed a key again after "not run", the earlier record
		 * may still be there, and our claim of unknown result could
		 * yet replace it.
		 */
		if (record->state == ORDER_STATE_NOT_RUN &&
		    order->outcome.state == ORDER_STATE_NOT_RUN &&
		    order->version == event->read.version &&
		    order->outcome.fencing > record->fencing)
			add_write(order, actions, &order->outcome,
				  ORDER_PHASE_RECORD_WRITE);
		else
			finish(order, actions, true);
		return;
	}
	if (!supersedes(&order->outcome, record)) {
		finish(order, actions, true);
		return;
	}
	order->version = event->read.version;
	/* Never lower a fencing number that another instance raised. */
	if (order->outcome.fencing < record->fencing)
		order->outcome.fencing = record->fencing;
	add_write(order, actions, &order->outcome, ORDER_PHASE_RECORD_WRITE);
}

static void on_written(order_t *order, const order_event_t *event,
		       uint64_t now_ms, order_actions_t *actions)
{
	switch (order->phase) {
	case ORDER_PHASE_CLAIM_WRITE:
		on_claim_written(order, event, now_ms, actions);
		return;
	case ORDER_PHASE_CLOSE_WRITE:
		on_close_written(order, event, now_ms, actions);
		return;
	case ORDER_PHASE_RECORD_WRITE:
		on_record_written(order, event, now_ms, actions);
		return;
	default:
		return;
	}
}

static void on_read(order_t *order, const order_event_t *event, uint64_t now_ms,
		    order_actions_t *actions)
{
	if (order->phase == ORDER_PHASE_CLAIM_READ)
		on_claim_read(order, event, now_ms, actions);
	else if (order->phase == ORDER_PHASE_RECORD_READ)
		on_record_read(order, event, now_ms, actions);
}

static void on_timer(order_t *order, order_actions_t *actions)
{
	if (order->phase == ORDER_PHASE_CLAIM_WAIT)
		read_claim(order, actions);
	else if (order->phase == ORDER_PHASE_RECORD_WAIT)
		add_call(order, actions, ORDER_ACTION_READ,
			 ORDER_PHASE_RECORD_READ);
}

void order_step(order_t *order, const order_event_t *event, uint64_t now_ms,
		order_actions_t *actions)
{
	actions->count = 0;
	if (event->call_id != order->call_id)
		return;
	switch (event->kind) {
	case ORDER_EVENT_WRITTEN:
		on_written(order, event, now_ms, actions);
		return;
	case ORDER_EVENT_READ:
		on_read(order, event, now_ms, actions);
		return;
	case ORDER_EVENT_TIMER:
		on_timer(order, actions);
		return;
	case ORDER_EVENT_CONNECTED:
		if (order->phase == ORDER_PHASE_CONNECTING)
			on_connected(order, now_ms, actions);
		return;
	case ORDER_EVENT_CONNECT_FAILED:
		if (order->phase == ORDER_PHASE_CONNECTING)
			on_connect_failed(order, now_ms, actions);
		return;
	case ORDER_EVENT_ANSWERED:
		if (order->phase == ORDER_PHASE_SENT)
			on_answered(order, event, now_ms, actions);
		return;
	case ORDER_EVENT_ANSWER_LOST:
		if (order->phase == ORDER_PHASE_SENT)
			on_answer_lost(order, now_ms, actions);
		return;
	case ORDER_EVENT_QUERIED:
		if (order->phase == ORDER_PHASE_QUERYING)
			on_queried(order, event, now_ms, actions);
		return;
	}
}
