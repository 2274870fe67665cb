/*
 * Cost of gossip by number of instances: bytes per second and CPU use of a
 * node, time until all nodes have applied a configuration change, and size of
 * the membership state. Runs only the membership and rumor code, on virtual
 * time.
 */
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>

#include "process/settings.h"
#include "t/lib/fake_net.h"

enum {
	WARM_UP_MS = 10000,
	MEASURE_MS = 60000,
	/** 77,000 changes per day. */
	CHANGE_PERIOD_MS = 1122,
	/** 3,760 restarts and failures per day over 340 instances. */
	RESTART_PERIOD_MS = 22979,
	CHANGES_MAX = MEASURE_MS / CHANGE_PERIOD_MS + 1,
};

static uint32_t seed;
static uint32_t delay_max_ms;
static uint32_t change_bytes;

static const setting_t settings[] = {
	{ .flag = "seed",
	  .type = SETTING_NUMBER,
	  .value = &seed,
	  .text = "seed of the schedule",
	  .fallback = "1",
	  .max = 1000000 },
	{ .flag = "delay-max-ms",
	  .type = SETTING_NUMBER,
	  .value = &delay_max_ms,
	  .text = "longest one-way delay between instances, ms",
	  .fallback = "80",
	  .min = 1,
	  .max = 1000 },
	{ .flag = "change-bytes",
	  .type = SETTING_NUMBER,
	  .value = &change_bytes,
	  .text = "size of one configuration change, bytes",
	  .fallback = "600",
	  .max = 100000 },
	{ 0 },
};

typedef struct result {
	uint64_t spread_max_ms;
	double bytes_per_s; /**< Sent and received by one node. */
	double cpu_percent; /**< Share of one core that one node uses. */
} result_t;

static bool all_have(const fake_net_t *net, uint64_t position)
{
	for (size_t i = 0; i < net->node_count; i++) {
		if (net->up[i] && net->nodes[i].config_position < position)
			return false;
	}
	return true;
}

/** Two instances of each failure domain receive a change from the store. */
static void change_config(fake_net_t *net, uint64_t position)
{
	for (size_t domain = 0; domain < net->domain_count; domain++) {
		for (size_t k = 0; k < 2; k++) {
			size_t node = domain + k * net->domain_count;

			if (node < net->node_count && net->up[node])
				membership_set_config_position(
					&net->nodes[node], position);
		}
	}
}

static result_t measure(size_t node_count, size_t domain_count)
{
	fake_net_t *net = fake_net_new(node_count, domain_count, seed);
	result_t result = { 0 };
	uint64_t changed_ms[CHANGES_MAX + 1] = { 0 };
	uint64_t position = 0;
	uint64_t complete = 0;
	uint64_t next_restart_ms;
	uint64_t bytes;
	gint64 start_us;

	net->delay_max_ms = delay_max_ms;
	net->change_bytes = change_bytes;
	fake_net_run(net, WARM_UP_MS);
	next_restart_ms = net->now_ms + RESTART_PERIOD_MS;
	bytes = net->byte_total;
	start_us = g_get_monotonic_time();
	while (net->now_ms < WARM_UP_MS + MEASURE_MS) {
		if (net->now_ms >= WARM_UP_MS + position * CHANGE_PERIOD_MS) {
			changed_ms[++position] = net->now_ms;
			change_config(net, position);
		}
		if (net->now_ms >= next_restart_ms) {
			size_t node = rng_below(&net->rng, node_count);

			fake_net_start(net, node);
			membership_set_config_position(&net->nodes[node],
						       position);
			next_restart_ms += RESTART_PERIOD_MS;
		}
		fake_net_run(net, net->now_ms + 10);
		while (complete < position && all_have(net, complete + 1)) {
			complete++;
			result.spread_max_ms =
				MAX(result.spread_max_ms,
				    net->now_ms - changed_ms[complete]);
		}
	}
	result.cpu_percent = (double)(g_get_monotonic_time() - start_us) /
			     (MEASURE_MS * 1000.0) / (double)node_count * 100;
	/* Each byte is sent by one node and received by another. */
	result.bytes_per_s = 2.0 * (double)(net->byte_total - bytes) /
			     (MEASURE_MS / 1000.0) / (double)node_count;
	fake_net_free(net);
	return result;
}

int main(int argc, const char **argv)
{
	static const size_t sizes[] = { 14, 42, 85, 170, 340 };
	int outcome = settings_read(argc, argv, settings, "", NULL);

	if (outcome != SETTINGS_RUN)
		return outcome < 0;
	printf("# seed %" PRIu32 " delay-max-ms %" PRIu32
	       " change-bytes %" PRIu32 "\n",
	       seed, delay_max_ms, change_bytes);
	printf("nodes domains bytes_per_s cpu_percent change_max_ms "
	       "state_bytes\n");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		size_t domains = sizes[i] == 14 ? 4 : 17;
		result_t result = measure(sizes[i], domains);

		printf("%5zu %7zu %11.0f %11.3f %13" PRIu64 " %11zu\n",
		       sizes[i], domains, result.bytes_per_s,
		       result.cpu_percent, result.spread_max_ms,
		       sizeof(membership_t));
	}
	return 0;
}
