#include "process/error.h"
#include "process/event.h"
#include "request/exchange_job.h"

#include <string.h>

/* Looks up route and customer in the exchange's view. */
static int find_route_and_customer(exchange_t *exchange)
{
	const desired_state_t *desired = exchange->view->desired;
	const request_headers_t *headers = &exchange->headers;

	if (!headers->host)
		return ERR_BAD_FIELD;
	exchange->customer = NULL;
	exchange->route =
		desired_find_route(desired, headers->host,
				   http_head_target(exchange->request->head));
	if (!exchange->route)
		return ERR_UNKNOWN_ROUTE;
	if (!desired->has_customers || exchange->route->anonymous)
		return 0;
	if (headers->key)
		exchange->customer = desired_find_key(desired, headers->key);
	return exchange->customer ? 0 : ERR_UNAUTHENTICATED;
}

static void set_time_limit(exchange_t *exchange)
{
	uint64_t limit_ms = exchange->route->timeout_ms;

	if (exchange->headers.deadline_ms &&
	    exchange->headers.deadline_ms < limit_ms)
		limit_ms = exchange->headers.deadline_ms;
	exchange->deadline_ms = exchange->started_ms + limit_ms;
}

/* Whether a planned stop allows the request; if so, bounds its deadline. */
static bool fits_planned_stop(exchange_t *exchange)
{
	const planned_stop_t *stop = &exchange->env->stop;

	if (!planned_stop_takes(stop, exchange->deadline_ms,
				exchange->started_ms))
		return false;
	exchange->deadline_ms = planned_stop_cap(stop, exchange->deadline_ms);
	return true;
}

int exchange_admit(exchange_t *exchange)
{
	int err;

	exchange->view = view_acquire();
	if (!exchange->view)
		return ERR_NOT_READY;
	err = find_route_and_customer(exchange);
	if (err)
		return err;
	set_time_limit(exchange);
	if (!fits_planned_stop(exchange))
		return ERR_STOPPING;
	exchange->service = desired_pick_service(exchange->route,
						 rng_next(&exchange->env->rng));
	return 0;
}

/* A stream that was relayed in part is resumed at the same service only; any
 * other request may use another service if this one is gone. */
static int keep_or_pick_service(exchange_t *exchange, const char *name)
{
	const desired_state_t *desired = exchange->view->desired;

	for (uint32_t i = 0; i < desired->service_count; i++) {
		if (!strcmp(desired->services[i].name, name)) {
			exchange->service = i;
			return 0;
		}
	}
	if (exchange->relay_started)
		return ERR_NO_ENDPOINT;
	exchange->service = desired_pick_service(exchange->route,
						 rng_next(&exchange->env->rng));
	return 0;
}

static int switch_to_view(exchange_t *exchange, view_t *view)
{
	const view_t *old_view = exchange->view;
	int err;

	exchange->view = view;
	err = find_route_and_customer(exchange);
	if (!err)
		err = keep_or_pick_service(
			exchange,
			old_view->desired->services[exchange->service].name);
	/* The route in the new view may no longer allow another run. */
	if (!err && exchange->runs && !exchange_is_repeatable(exchange))
		err = ERR_ENDPOINT_LOST;
	return err;
}

int exchange_refresh_view(exchange_t *exchange)
{
	view_t *old_view = exchange->view;
	view_t *new_view = view_acquire();
	const desired_route_t *route = exchange->route;
	const desired_customer_t *customer = exchange->customer;
	uint32_t service = exchange->service;
	int err = new_view == old_view ? 0 : switch_to_view(exchange, new_view);

	if (!err) {
		view_put(old_view);
		return 0;
	}
	event_log(EVENT_REQUEST_NOT_RENEWED, "id=%s why=%s", exchange->id,
		  error_type(err));
	/* The request is logged and ended with the view it started with. */
	exchange->view = old_view;
	exchange->route = route;
	exchange->customer = customer;
	exchange->service = service;
	view_put(new_view);
	return err;
}
