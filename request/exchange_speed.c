#include "request/exchange_job.h"

/** Time between two events that counts as expected, ms: six decode steps. Only
 * its relation to that of other endpoints matters. */
#define EVENT_PAUSE_MS 36.0

static void add_sample(exchange_t *exchange, speed_kind_t kind,
		       double expected_ms, double observed_ms, uint64_t now_ms)
{
	endpoint_load_t *load = exchange->endpoint->load;
	speed_estimate_t estimate = atomic_load(&load->own_speed[kind]);

	/* The front thread is the only one that updates it. */
	speed_estimate_add(&estimate, expected_ms, observed_ms, now_ms);
	atomic_store(&load->own_speed[kind], estimate);
}

static void add_pauses(exchange_t *exchange, uint64_t now_ms)
{
	add_sample(exchange, SPEED_EVENTS, EVENT_PAUSE_MS,
		   speed_pauses_median(&exchange->pauses), now_ms);
	exchange->pauses.count = 0;
}

void exchange_learn_event(exchange_t *exchange, uint64_t now_ms)
{
	if (!exchange->last_chunk_ms) {
		add_sample(exchange, SPEED_ANSWER, exchange->answer_ms,
			   (double)(now_ms - exchange->sent_ms), now_ms);
		return;
	}
	speed_pauses_add(&exchange->pauses, now_ms - exchange->last_chunk_ms);
	if (exchange->pauses.count == SPEED_PAUSES_MAX)
		add_pauses(exchange, now_ms);
}

void exchange_learn_end(exchange_t *exchange, uint64_t now_ms)
{
	const desired_service_t *service =
		&exchange->view->desired->services[exchange->service];

	if (exchange_is_stream(exchange))
		add_pauses(exchange, now_ms);
	else if (service->role == SERVICE_PLAIN)
		add_sample(exchange, SPEED_ANSWER, exchange->answer_ms,
			   (double)(now_ms - exchange->sent_ms), now_ms);
}
