/* Many instances that place by the same loads, up to a heartbeat old, on
 * virtual time: engines that read prompts one after the other, and plain
 * endpoints. */
#include <glib.h>
#include <math.h>
#include <string.h>

#include "process/hash.h"
#include "process/placement.h"
#include "process/rng.h"
#include "process/send_rate.h"

enum {
	ENDPOINTS_MAX = 140,
	INSTANCES_MAX = 340,
	INSTANCES_NOW = 114,
	SLOTS_MAX = 12,
	RUN_MS = 12000,
	WARM_UP_MS = 4000,
	PREFIXES = 300,
	CACHED_MS = 9000,
	WAIT_MAX_MS = 5000,
};

typedef struct site_case {
	const char *name;
	uint32_t wait_max_ms; /**< Target latency less the time of the work. */
	/** The same of requests with a prefix; 0: not met at this load. */
	uint32_t prefix_wait_max_ms;
	uint32_t endpoints;
	uint32_t slots;
	uint32_t queue;
	uint32_t per_s; /**< Requests. */
	bool plain;
	bool uneven; /**< Speeds. */
	bool prefixes;
} site_case_t;

/** Waits of a kind of request. */
typedef struct waits {
	uint32_t counts[WAIT_MAX_MS + 1]; /**< Requests by their wait, ms. */
	uint32_t count;
	double sum_ms;
} waits_t;

/** Load of an endpoint, or of an instance there. */
typedef struct load {
	int running;
	int prefill;
} load_t;

/** A request in progress; `tokens` is 0 after its prefill. */
typedef struct pending {
	uint32_t instance;
	uint32_t endpoint;
	uint32_t tokens;
	double prefilled_ms;
	double end_ms;
} pending_t;

static struct {
	const site_case_t *test;
	uint32_t instances;
	uint32_t interval_ms;
	load_t own[INSTANCES_MAX][ENDPOINTS_MAX];
	load_t told[INSTANCES_MAX][ENDPOINTS_MAX];
	load_t told_sum[ENDPOINTS_MAX];
	send_rate_t rates[INSTANCES_MAX];
	GArray *pending;
	int running[ENDPOINTS_MAX];
	double slot_free_ms[ENDPOINTS_MAX][SLOTS_MAX];
	double prefill_free_ms[ENDPOINTS_MAX];
	uint32_t served[ENDPOINTS_MAX];
	uint64_t used_ms[ENDPOINTS_MAX][PREFIXES];
	bool computed[PREFIXES];
	waits_t waits[2]; /**< Without and with a shared prefix. */
	uint32_t rejected;
	uint32_t recomputed;
	rng_t rng;
} site;

typedef struct result {
	double busiest; /**< Served by the busiest for its speed, to the mean.
			 */
	double mean_ms[2]; /**< Without and with a shared prefix. */
	uint32_t p99_ms[2];
	double rejected;
	double recomputed;
} result_t;

static double speed_of(uint32_t endpoint)
{
	static const double speeds[] = { 0.6, 1, 1.6 };

	return site.test->uneven ? speeds[endpoint % 3] : 1;
}

static void release_ended(double now_ms)
{
	for (uint32_t i = site.pending->len; i-- > 0;) {
		pending_t *pending = &g_array_index(site.pending, pending_t, i);
		load_t *own = &site.own[pending->instance][pending->endpoint];

		if (now_ms >= pending->prefilled_ms) {
			own->prefill -= (int)pending->tokens;
			pending->tokens = 0;
		}
		if (now_ms < pending->end_ms)
			continue;
		own->running--;
		site.running[pending->endpoint]--;
		g_array_remove_index_fast(site.pending, i);
	}
}

/* The prefix of a request, by Zipf's law; half of them are in the cache store
 * once they are computed. */
static uint64_t describe(uint32_t instance, placement_request_t *request,
			 placement_candidate_t *candidates, uint64_t now_ms)
{
	bool is_long = rng_below(&site.rng, 457) < 227;
	uint64_t prefix = (uint64_t)pow(PREFIXES, rng_unit(&site.rng));
	bool has_prefix = site.test->prefixes && is_long;
	bool stored = prefix % 2 && site.computed[prefix];

	*request = (placement_request_t){
		.tie_break = rng_next(&site.rng),
		.prefix_key = has_prefix ? hash_rendezvous(prefix, 99) : 0,
		.prefix_tokens = has_prefix ? 6300 : 0,
		.suffix_tokens = is_long ? 2890 : 628,
		.output_tokens = is_long ? 9 : 49,
	};
	for (uint32_t i = 0; i < site.test->endpoints; i++) {
		const load_t *own = &site.own[instance][i];
		const load_t *told = &site.told[instance][i];
		uint64_t used_ms = site.used_ms[i][prefix];
		bool cached =
			has_prefix && used_ms && now_ms - used_ms < CACHED_MS;

		candidates[i] = (placement_candidate_t){
			.id_hash = hash_rendezvous(i + 1, 7),
			.slots = site.test->slots,
			.speed = speed_of(i),
			.same_domain = i % 3 == instance % 3,
			.cache_capacity_tokens = site.test->plain ? 0 : 93047,
			.running = (uint32_t)(site.told_sum[i].running -
					      told->running + own->running),
			.prefill_tokens =
				(uint32_t)(site.told_sum[i].prefill -
					   told->prefill + own->prefill),
			.cached_tokens = cached ? 6300 : 0,
			.fetchable_tokens =
				has_prefix && (stored || cached) ? 6300 : 0,
			.fetch_ms = cached ? 0 : 32,
		};
	}
	return has_prefix ? prefix : 0;
}

static void run_request(pending_t pending, uint32_t output_tokens,
			waits_t *waits, double now_ms)
{
	uint32_t at = pending.endpoint;
	double *slot = site.slot_free_ms[at];
	double speed = speed_of(at);
	double start_ms;

	for (uint32_t i = 1; i < site.test->slots; i++) {
		if (site.slot_free_ms[at][i] < *slot)
			slot = &site.slot_free_ms[at][i];
	}
	start_ms = MAX(now_ms, MAX(*slot, site.prefill_free_ms[at]));
	pending.prefilled_ms = start_ms;
	pending.end_ms = start_ms + 60 / speed;
	if (!site.test->plain) {
		pending.prefilled_ms += pending.tokens / (50.7 * speed);
		pending.end_ms =
			pending.prefilled_ms + output_tokens * 6 / speed;
		site.prefill_free_ms[at] = pending.prefilled_ms;
	}
	*slot = pending.end_ms;
	site.running[at]++;
	site.own[pending.instance][at].running++;
	site.own[pending.instance][at].prefill += (int)pending.tokens;
	g_array_append_val(site.pending, pending);
	if (now_ms > WARM_UP_MS) {
		site.served[at]++;
		waits->count++;
		waits->sum_ms += start_ms - now_ms;
		waits->counts[MIN((uint32_t)ceil(start_ms - now_ms),
				  WAIT_MAX_MS)]++;
	}
}

static void place(bool knows_age, uint64_t now_ms)
{
	uint32_t instance = (uint32_t)rng_below(&site.rng, site.instances);
	placement_candidate_t candidates[ENDPOINTS_MAX];
	placement_request_t request;
	placement_choice_t choice;
	uint64_t prefix = describe(instance, &request, candidates, now_ms);
	uint32_t tokens;
	uint32_t at;

	if (knows_age)
		request.unseen =
			send_rate_unseen(&site.rates[instance], site.instances,
					 site.interval_ms / 2 + 50, now_ms);
	send_rate_count(&site.rates[instance], now_ms);
	placement_choose(candidates, site.test->endpoints, &request, &choice);
	at = (uint32_t)choice.index;
	if (site.running[at] >= (int)(site.test->slots + site.test->queue)) {
		site.rejected += now_ms > WARM_UP_MS;
		return;
	}
	tokens = request.suffix_tokens + request.prefix_tokens -
		 candidates[at].fetchable_tokens;
	if (prefix && now_ms > WARM_UP_MS)
		site.recomputed += site.computed[prefix] &&
				   !candidates[at].fetchable_tokens;
	if (prefix) {
		site.computed[prefix] = true;
		site.used_ms[at][prefix] = now_ms;
	}
	run_request((pending_t){ instance, at, tokens, 0, 0 },
		    request.output_tokens, &site.waits[prefix > 0],
		    (double)now_ms);
}

static void tell_loads(uint32_t instance)
{
	for (uint32_t i = 0; i < site.test->endpoints; i++) {
		load_t *told = &site.told[instance][i];
		const load_t *own = &site.own[instance][i];

		site.told_sum[i].running += own->running - told->running;
		site.told_sum[i].prefill += own->prefill - told->prefill;
		*told = *own;
	}
}

static result_t summarise(void)
{
	result_t result = { 0 };
	double speeds = 0;
	double count = 0;

	for (uint32_t i = 0; i < site.test->endpoints; i++) {
		count += site.served[i];
		speeds += speed_of(i);
		result.busiest =
			MAX(result.busiest, site.served[i] / speed_of(i));
	}
	for (int kind = 0; kind < 2; kind++) {
		const waits_t *waits = &site.waits[kind];
		uint32_t longer = waits->count - waits->counts[0];

		while (longer > waits->count / 100)
			longer -= waits->counts[++result.p99_ms[kind]];
		result.mean_ms[kind] = waits->sum_ms / MAX(1, waits->count);
	}
	result.busiest *= speeds / count;
	result.rejected = site.rejected / (count + site.rejected);
	result.recomputed = site.recomputed / MAX(1.0, site.waits[1].count);
	return result;
}

/* One instance alone knows all loads as they are. */
static result_t run_site(const site_case_t *test, uint32_t instances,
			 bool knows_age)
{
	result_t result;

	memset(&site, 0, sizeof(site));
	site.test = test;
	site.instances = instances;
	site.interval_ms = 200 + (instances > 20 ? 3 * (instances - 20) : 0);
	site.pending = g_array_new(FALSE, FALSE, sizeof(pending_t));
	rng_init(&site.rng, 20261207);
	for (uint64_t now_ms = 1; now_ms < RUN_MS; now_ms++) {
		release_ended((double)now_ms);
		for (uint32_t i = 0; i < instances; i++) {
			if ((now_ms + 7ULL * i) % site.interval_ms == 0)
				tell_loads(i);
		}
		for (uint32_t left = test->per_s; left;
		     left -= MIN(left, 1000)) {
			if (rng_below(&site.rng, 1000) < left)
				place(knows_age, now_ms);
		}
	}
	result = summarise();
	g_array_free(site.pending, TRUE);
	g_test_message("%-14s %3u %-6s busiest %.2f wait %.1f p99 %u "
		       "with prefix %.1f p99 %u rejected %.4f recomputed %.4f",
		       test->name, instances, knows_age ? "after" : "before",
		       result.busiest, result.mean_ms[0], result.p99_ms[0],
		       result.mean_ms[1], result.p99_ms[1], result.rejected,
		       result.recomputed);
	return result;
}

#define ENGINES .endpoints = 140, .slots = 12, .queue = 36
#define PLAIN .endpoints = 4, .slots = 6, .queue = 24, .plain = true

/* Usual load and bursts of the large deployment. The most urgent kind has a
 * target of 500 ms and 57 ms of its own prefill, plain requests 300 and 60;
 * slower endpoints take 0.6 of the speed. */
static const site_case_t site_cases[] = {
	{ "engines-usual", 440, ENGINES, .per_s = 457 },
	{ "engines", 440, ENGINES, .per_s = 1828 },
	{ "engines-uneven", 400, ENGINES, .per_s = 1828, .uneven = true },
	{ "prefix-usual", 440, ENGINES, .per_s = 457, .prefixes = true,
	  .prefix_wait_max_ms = 440 },
	{ "prefix", 440, ENGINES, .per_s = 1828, .prefixes = true },
	{ "prefix-uneven", 400, ENGINES, .per_s = 1828, .prefixes = true,
	  .uneven = true },
	{ "plain-usual", 240, PLAIN, .per_s = 152 },
	{ "plain", 240, PLAIN, .per_s = 350 },
	{ "plain-uneven", 200, PLAIN, .per_s = 300, .uneven = true },
};

/* Long prefixes stay at their engines, which a burst of four times the usual
 * load overruns: then requests with them wait no longer than before, others up
 * to their target at the present size. A tenth more is chance. */
static void assert_waits(const site_case_t *test, uint32_t instances,
			 const result_t *before, const result_t *after)
{
	if (test->prefixes && instances > INSTANCES_NOW)
		g_assert_cmpuint(after->p99_ms[0], <=,
				 MAX(test->wait_max_ms, before->p99_ms[0]));
	else
		g_assert_cmpuint(after->p99_ms[0], <=, test->wait_max_ms);
	if (test->prefix_wait_max_ms)
		g_assert_cmpuint(after->p99_ms[1], <=,
				 test->prefix_wait_max_ms);
	g_assert_cmpfloat(after->p99_ms[1], <=, 1.1 * before->p99_ms[1]);
}

/* Failure: all instances chose the endpoint with the least load of the last
 * heartbeats, and endpoints were overrun in turns; or prefixes left the engines
 * that have them cached (goal: below 8% recomputed). */
static void test_site(const void *data)
{
	static const uint32_t sizes[] = { 14, 114, 340 };
	const site_case_t *test = data;

	run_site(test, 1, false);
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		result_t before = run_site(test, sizes[i], false);
		result_t after = run_site(test, sizes[i], true);

		assert_waits(test, sizes[i], &before, &after);
		g_assert_cmpfloat(after.rejected, <=, before.rejected);
		g_assert_cmpfloat(after.rejected, <, 0.001);
		g_assert_cmpfloat(after.recomputed, <, 0.08);
		g_assert_cmpfloat(after.recomputed, <=,
				  before.recomputed + 0.001);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(site_cases); i++) {
		char *path =
			g_strdup_printf("/even-load/%s", site_cases[i].name);

		g_test_add_data_func(path, &site_cases[i], test_site);
		g_free(path);
	}
	return g_test_run();
}
