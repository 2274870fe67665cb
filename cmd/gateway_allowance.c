/* Datagrams about customers' allowances to and from other instances, and the
 * timer of what is decided with time. */
#include "cmd/gateway_allowance.h"

#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "platform/platform_desired.h"
#include "process/clock.h"
#include "process/error.h"
#include "process/event.h"
#include "process/hash.h"
#include "process/metrics.h"

struct gateway_allowance {
	gateway_t *gateway;
	exchange_env_t *env;
	allowance_t *state;
	int fd; /**< -1: no datagrams are exchanged. */
	struct event *readable;
	struct event *due;     /**< Activated when datagrams may be due. */
	struct event *timer;   /**< See allowance_next_ms(). */
	uint64_t peers_number; /**< Of the list in force; 0: none yet. */
	uint64_t rejected;     /**< Datagrams that were not decoded. */
	bool stopping;
};

/* Peers. */

static const forward_peer_t *find_peer(const gateway_allowance_t *allowance,
				       uint64_t id)
{
	const forward_peers_t *peers = allowance->env->forward_peers;

	for (size_t i = 0; peers && i < peers->count; i++) {
		if (peers->items[i].shares_allowances &&
		    peers->items[i].id == id)
			return &peers->items[i];
	}
	return NULL;
}

static const forward_peer_t *find_sender(const gateway_allowance_t *allowance,
					 const struct sockaddr_in *from)
{
	const forward_peers_t *peers = allowance->env->forward_peers;

	for (size_t i = 0; peers && i < peers->count; i++) {
		const struct sockaddr_in *address = &peers->items[i].address;

		if (peers->items[i].shares_allowances &&
		    address->sin_addr.s_addr == from->sin_addr.s_addr &&
		    address->sin_port == from->sin_port)
			return &peers->items[i];
	}
	return NULL;
}

static int set_peers(gateway_allowance_t *allowance,
		     const forward_peers_t *peers)
{
	allowance_peer_t *list = calloc(peers->count + 1, sizeof(*list));
	size_t count = 0;
	int err;

	if (!list)
		return ERR_NO_MEMORY;
	for (size_t i = 0; i < peers->count; i++) {
		if (peers->items[i].shares_allowances)
			list[count++] = (allowance_peer_t){
				.id = peers->items[i].id,
				.incarnation = peers->items[i].incarnation,
				.young = peers->items[i].young,
			};
	}
	err = allowance_set_peers(allowance->state, list, count,
				  peers->instances, allowance->stopping,
				  clock_now_ms());
	free(list);
	return err;
}

/* Sending. */

/* Errors are ignored, as a datagram may be lost on its way, too. */
static void send_message(const gateway_allowance_t *allowance, uint64_t to_id,
			 const allowance_message_t *message)
{
	const forward_peer_t *peer = find_peer(allowance, to_id);
	char bytes[ALLOWANCE_MESSAGE_MAX_BYTES];
	int len = allowance_message_encode(message, bytes, sizeof(bytes));

	if (!peer || len < 0)
		return;
	(void)sendto(allowance->fd, bytes, (size_t)len, 0,
		     (const struct sockaddr *)&peer->address,
		     sizeof(peer->address));
	metrics_add(METRIC_PEER_BYTES_SENT, len);
}

static void arm_timer(const gateway_allowance_t *allowance, uint64_t now_ms)
{
	uint64_t next_ms = allowance_next_ms(allowance->state);
	uint64_t delay_ms = next_ms > now_ms ? next_ms - now_ms : 1;
	struct timeval delay = {
		.tv_sec = (time_t)(delay_ms / 1000),
		.tv_usec = (suseconds_t)(delay_ms % 1000) * 1000,
	};

	if (next_ms == UINT64_MAX)
		evtimer_del(allowance->timer);
	else
		evtimer_add(allowance->timer, &delay);
}

/* Sends what is due and sets the timer for what comes next. */
static void send_due(const gateway_allowance_t *allowance)
{
	uint64_t now_ms = clock_now_ms();
	allowance_message_t message;
	uint64_t to_id;

	if (allowance->fd < 0)
		return;
	while (allowance_next_message(allowance->state, now_ms, &to_id,
				      &message))
		send_message(allowance, to_id, &message);
	arm_timer(allowance, now_ms);
}

static void on_due(evutil_socket_t fd, short what, void *context)
{
	(void)fd;
	(void)what;
	send_due(context);
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	const gateway_allowance_t *allowance = context;

	(void)fd;
	(void)what;
	exchange_retry_held(allowance->env);
	send_due(allowance);
}

/* Receiving. */

/* Reads and handles a datagram; false if none was waiting. */
static bool read_datagram(gateway_allowance_t *allowance)
{
	char bytes[ALLOWANCE_MESSAGE_MAX_BYTES + 1];
	struct sockaddr_in from = { 0 };
	socklen_t from_len = sizeof(from);
	allowance_message_t message;
	const forward_peer_t *peer;
	ssize_t len =
		recvfrom(allowance->fd, bytes, sizeof(bytes), MSG_DONTWAIT,
			 (struct sockaddr *)&from, &from_len);

	if (len < 0)
		return false;
	metrics_add(METRIC_PEER_BYTES_RECEIVED, len);
	peer = find_sender(allowance, &from);
	if (!peer || allowance_message_decode(&message, bytes, (size_t)len)) {
		allowance->rejected++;
		return true;
	}
	allowance_receive(allowance->state, peer->id, &message, clock_now_ms());
	return true;
}

static void on_readable(evutil_socket_t fd, short what, void *context)
{
	gateway_allowance_t *allowance = context;

	(void)fd;
	(void)what;
	while (read_datagram(allowance))
		;
	exchange_retry_held(allowance->env);
	send_due(allowance);
}

static void count_up(metric_t metric, uint64_t total)
{
	metrics_add(metric, (int64_t)total - metrics_get(metric));
}

static void update_metrics(const gateway_allowance_t *allowance)
{
	const allowance_counters_t *counters = &allowance->state->counters;

	count_up(METRIC_ALLOWANCE_ASKS, counters->asks);
	count_up(METRIC_ALLOWANCE_ASKS_LOST, counters->asks_lost);
	count_up(METRIC_ALLOWANCE_GRANTS, counters->grants);
	count_up(METRIC_ALLOWANCE_DENIALS, counters->denials);
	count_up(METRIC_ALLOWANCE_PARTS, counters->parts_sent);
	count_up(METRIC_ALLOWANCE_REJECTED,
		 allowance->rejected + counters->dropped);
}

/* Changes of limits and instances. */

static void note_young(const gateway_allowance_t *allowance)
{
	atomic_store(&allowance->gateway->allowances_young,
		     allowance_is_young(allowance->state, clock_now_ms()));
}

void gateway_allowance_tick(gateway_allowance_t *allowance)
{
	const forward_peers_t *peers = allowance->env->forward_peers;

	exchange_apply_limits(allowance->env);
	update_metrics(allowance);
	note_young(allowance);
	if (!peers || peers->number == allowance->peers_number ||
	    set_peers(allowance, peers))
		return;
	allowance->peers_number = peers->number;
	send_due(allowance);
}

void gateway_allowance_hand_over(gateway_allowance_t *allowance)
{
	const forward_peers_t *peers = allowance->env->forward_peers;

	allowance->stopping = true;
	if (peers && !set_peers(allowance, peers))
		send_due(allowance);
}

static int open_socket(gateway_allowance_t *allowance)
{
	const gateway_settings_t *settings = &allowance->gateway->settings;
	struct event_base *base = allowance->env->base;
	struct sockaddr_in address;
	char text[64];

	snprintf(text, sizeof(text), "%s:%u", settings->peer_ip,
		 settings->forward_port);
	if (platform_read_address(text, &address))
		return ERR_SETTING;
	allowance->fd =
		socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (allowance->fd < 0 ||
	    bind(allowance->fd, (const struct sockaddr *)&address,
		 sizeof(address)) < 0)
		return ERR_LIMIT;
	allowance->readable =
		event_new(base, allowance->fd, EV_READ | EV_PERSIST,
			  on_readable, allowance);
	allowance->due = event_new(base, -1, 0, on_due, allowance);
	allowance->timer = evtimer_new(base, on_timer, allowance);
	if (!allowance->readable || !allowance->due || !allowance->timer ||
	    event_add(allowance->readable, NULL))
		return ERR_NO_MEMORY;
	allowance->env->allowances.due = allowance->due;
	return 0;
}

gateway_allowance_t *gateway_allowance_open(gateway_t *gateway,
					    exchange_env_t *env)
{
	gateway_allowance_t *allowance = calloc(1, sizeof(*allowance));

	if (!allowance)
		return NULL;
	allowance->gateway = gateway;
	allowance->env = env;
	allowance->state = &env->allowances.state;
	allowance->fd = -1;
	exchange_open_allowances(env, hash_string(gateway->peer_name),
				 gateway->incarnation);
	allowance_set_overage(allowance->state,
			      gateway->settings.limit_overage);
	if (gateway->settings.forward_port && open_socket(allowance)) {
		event_log(EVENT_START_FAILED, "part=allowances port=%u",
			  gateway->settings.forward_port);
		gateway_allowance_close(allowance);
		return NULL;
	}
	return allowance;
}

void gateway_allowance_close(gateway_allowance_t *allowance)
{
	if (!allowance)
		return;
	exchange_close_allowances(allowance->env);
	if (allowance->readable)
		event_free(allowance->readable);
	if (allowance->due)
		event_free(allowance->due);
	if (allowance->timer)
		event_free(allowance->timer);
	if (allowance->fd >= 0)
		close(allowance->fd);
	free(allowance);
}
