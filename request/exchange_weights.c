#include "request/exchange_job.h"

#include "process/clock.h"
#include "process/event.h"
#include "process/metrics.h"

uint64_t exchange_outdated_ms(const exchange_t *exchange, const view_t *view,
			      uint64_t weights, uint64_t now_ms)
{
	const target_weights_t *target =
		exchange->headers.model
			? view_weights(view, exchange->headers.model)
			: NULL;

	return target ? target_weights_outdated_ms(target, weights, now_ms) : 0;
}

void exchange_check_begun_weights(const exchange_t *exchange, uint64_t now_ms)
{
	uint64_t weights = exchange->answer.weights_version;
	uint64_t outdated_ms;
	view_t *view;

	if (!weights)
		return;
	view = view_acquire();
	outdated_ms = exchange_outdated_ms(exchange, view, weights, now_ms);
	view_put(view);
	if (outdated_ms < exchange->env->weights_ms)
		return;
	metrics_add(METRIC_REQUESTS_BEGUN_OUTDATED, 1);
	event_log(EVENT_REQUEST_BEGUN_OUTDATED,
		  "id=%s endpoint=%s weights=%llu expected=%llu "
		  "outdated_ms=%llu view_outdated_ms=%llu sent_ms=%llu",
		  exchange->id, exchange->endpoint->id,
		  (unsigned long long)weights,
		  (unsigned long long)exchange->weights,
		  (unsigned long long)outdated_ms,
		  (unsigned long long)exchange_outdated_ms(
			  exchange, exchange->view, weights, now_ms),
		  (unsigned long long)(now_ms - exchange->sent_ms));
}

/* Whether a request still waits at an engine whose weights it must not begin on
 * much longer. */
static bool waits_on_outdated(const exchange_t *exchange, const view_t *view,
			      uint64_t now_ms)
{
	const desired_service_t *service =
		&exchange->view->desired->services[exchange->service];
	uint64_t outdated_ms;

	if (!exchange->call || !exchange->endpoint || exchange->begun_ms ||
	    service->role != SERVICE_ENGINE)
		return false;
	outdated_ms =
		exchange_outdated_ms(exchange, view, exchange->weights, now_ms);
	return outdated_ms && outdated_ms + EXCHANGE_WITHDRAW_MARGIN_MS >=
				      exchange->env->weights_ms;
}

void exchange_withdraw_outdated(exchange_env_t *env)
{
	exchange_t *exchange = LIST_FIRST(&env->open);
	uint64_t now_ms = clock_now_ms();
	view_t *view = view_acquire();

	while (view && exchange) {
		exchange_t *next = LIST_NEXT(exchange, entry);

		if (waits_on_outdated(exchange, view, now_ms)) {
			exchange_log_failure(exchange, "weights_limit");
			sse_splitter_reset(&exchange->splitter);
			exchange_after_attempt(exchange, ATTEMPT_UNKNOWN);
		}
		exchange = next;
	}
	view_put(view);
}
