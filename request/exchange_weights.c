#include "request/exchange_job.h"

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
