/*
 * Measures how CPU time, memory and message size of each component grow with
 * its size, and fits a least-squares line through the medians of repeated
 * measurements: bench-capacity [--json=FILE]. docs/CAPACITY.md is computed from
 * these lines.
 */
#include <glib.h>
#include <jansson.h>
#include <malloc.h>
#include <math.h>
#include <sodium.h>
#include <time.h>

#include "process/cleanup.h"
#include "process/controller.h"
#include "process/fleet.h"
#include "process/hash.h"
#include "process/lease.h"
#include "process/membership.h"
#include "process/metrics.h"
#include "process/error.h"
#include "process/peer_auth.h"
#include "process/quarantine.h"
#include "process/settings.h"
#include "request/prefix.h"
#include "version/config_sync.h"

enum {
	SIZES_MAX = 6,
	REPEATS = 7, /**< Measurements for each size. */
	PREFIX_LEVELS = 16,
	LOOPS = 2000, /**< Calls in one measurement. */
};

static const char *json_path;
static const setting_t settings[] = {
	{ .flag = "json",
	  .type = SETTING_TEXT,
	  .value = &json_path,
	  .text = "file for the results as JSON" },
	{ 0 },
};

static double cpu_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

/** Mean CPU time of the given code, us; it may use the loop counter `i`. */
#define TIMED(loops, ...)                                \
	({                                               \
		double begin_us = cpu_us();              \
		for (uint64_t i = 0; i < (loops); i++)   \
			__VA_ARGS__;                     \
		(cpu_us() - begin_us) / (double)(loops); \
	})

/** Routes one request, from the choice of its endpoint to its end. */
static void route_one(routing_t *routing, endpoint_t **pool, size_t count,
		      routing_request_t *request, rng_t *rng, uint64_t now_ms)
{
	routing_explanation_t why;
	int chosen = routing_choose(routing, pool, count, request, now_ms, rng,
				    &why);

	routing_sent(routing, pool[chosen], request, &why, now_ms);
	routing_first_token(routing, pool[chosen], request, 0, 1, now_ms,
			    now_ms + 29);
	routing_ended(pool[chosen], request, ENDPOINT_DONE, true, rng,
		      now_ms + 29);
}

/**
 * Time to route one request, us.
 * @param n number of endpoints (variant 0), different prompts (1) or customers
 *          (2)
 */
static double route(size_t n, int variant)
{
	size_t endpoint_count = variant == 0 ? n : 35;
	size_t customers = variant == 2 ? n : 8;
	size_t prompts = variant == 1 ? n : MAX(100, 4 * customers);
	g_autofree routing_t *routing = g_new0(routing_t, 1);
	g_autofree endpoint_t *endpoints = g_new0(endpoint_t, endpoint_count);
	g_autofree endpoint_t **pool = g_new0(endpoint_t *, endpoint_count);
	prefix_level_t levels[PREFIX_LEVELS] = { 0 };
	routing_request_t request = { .levels = levels,
				      .level_count = PREFIX_LEVELS,
				      .prompt_tokens = 2000 * PREFIX_LEVELS };
	rng_t rng;

	rng_init(&rng, 1);
	routing_init(routing, ROUTING_PREFIX, 8000);
	for (size_t i = 0; i < endpoint_count; i++) {
		endpoint_init(&endpoints[i], hash_rendezvous(1, i));
		pool[i] = &endpoints[i];
	}
	return TIMED(LOOPS, {
		uint64_t prompt = rng_below(&rng, prompts);

		for (uint32_t j = 0; j < PREFIX_LEVELS; j++) {
			levels[j].key = hash_rendezvous(
				j, j < 8 ? prompt % customers : prompt);
			levels[j].tokens = (j + 1) * 2000;
			levels[j].full_tokens = levels[j].tokens;
		}
		route_one(routing, pool, endpoint_count, &request, &rng,
			  1000 + i * 29);
	});
}

/** Time to compute the prefix levels of a prompt of `n` tokens, us. */
static double prefix_tokens(size_t n, int variant G_GNUC_UNUSED)
{
	g_autofree char *text = g_strnfill(n * 4, 'x');
	prefix_identity_t identity = { "s", "m", "", "1", 2000, 4 };
	prefix_message_t message = { "user", text, n * 4 };
	prefix_t prefix;

	return TIMED(200, prefix_compute(&identity, &message, 1, &prefix));
}

/**
 * Time of admission for one request with `n` waiting, us. Each iteration ends a
 * request, starts the next and submits a new one, so that `n` stays constant.
 */
static double admission_waiting(size_t n, int variant G_GNUC_UNUSED)
{
	g_autofree admission_t *admission = g_new0(admission_t, 1);
	admission_request_t request = { .urgency = 1, .tokens = 1000 };
	admission_action_t action = { .id = 1 };

	admission_init(admission, ADMISSION_WAITING_MAX, 10);
	admission_set_pool(admission, 0, 0, 1);
	request.customer.weight = 1;
	for (request.id = 1; request.id <= n + 1; request.id++) {
		request.customer.id_hash = request.id % 620 + 1;
		admission_submit(admission, &request, 1);
	}
	return TIMED(LOOPS, {
		admission_finished(admission, action.id, 1);
		g_assert_true(admission_next(admission, 1, &action));
		request.customer.id_hash = ++request.id % 620 + 1;
		admission_submit(admission, &request, 1);
	});
}

/** A name such as "endpoint/e17", valid until the next call. */
static const char *numbered_name(const char *start, size_t i)
{
	static char name[64];

	g_snprintf(name, sizeof(name), "%s%zu", start, i);
	return name;
}

static json_t *make_objects(size_t endpoints, size_t customers)
{
	json_t *objects = json_object();
	char digest[HASH_DIGEST_HEX_BYTES];
	json_t *model;

	for (size_t i = 0; i < 15; i++) {
		json_object_set_new(objects, numbered_name("model/m", i),
				    json_object());
		model = json_pack("{s:s}", "model", numbered_name("m", i));
		json_object_set_new(objects, numbered_name("pool/p", i), model);
	}
	for (size_t i = 0; i < endpoints; i++) {
		json_t *entry = json_pack("{s:s,s:s,s:i,s:s,s:s}", "kind",
					  "engine", "address", "10.200.100.50",
					  "port", 8000, "domain", "region-1-d1",
					  "pool", numbered_name("p", i % 15));

		json_object_set_new(objects, numbered_name("endpoint/e", i),
				    entry);
	}
	for (size_t i = 0; i < customers; i++) {
		const char *key = numbered_name("customer/c", i);

		hash_digest_hex(key, strlen(key), digest);
		json_object_set_new(objects, key,
				    json_pack("{s:s,s:s,s:[s,s]}", "key_sha256",
					      digest, "salt", key, "pools",
					      "p0", "p1"));
	}
	return objects;
}

static double heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return (double)(info.uordblks + info.hblkhd);
}

/**
 * Cost of a configuration with `n` endpoints (variants 0, 1, 2, 5) or `n`
 * customers (3, 4).
 * @return time to build a version, us (0, 3); heap of a version with its
 *         objects, bytes (1, 4); time to copy the state, us (2); size of the
 *         objects as JSON, bytes (5)
 */
static double config_cost(size_t n, int variant)
{
	double before = heap_bytes();
	json_t *objects = variant == 3 || variant == 4 ? make_objects(1000, n)
						       : make_objects(n, 620);
	ticket_state_t state = { 1, objects, objects };
	ticket_state_t copy;
	config_t *config = NULL;
	config_problem_t problem;
	double us = TIMED(1, config_build(1, objects, &config, &problem));
	double bytes = heap_bytes() - before;

	g_assert_nonnull(config);
	if (variant == 2) {
		us = TIMED(1, ticket_state_copy(&state, &copy));
		ticket_state_free(&copy);
	}
	if (variant == 5)
		bytes = (double)json_dumpb(objects, NULL, 0, JSON_COMPACT);
	config_release(config);
	json_decref(objects);
	return variant == 1 || variant >= 4 ? bytes : us;
}

static void append_log_entry(ticket_head_t *head, size_t i)
{
	CLEANUP_JSON json_t *content =
		json_pack("{s:I,s:s,s:{s:{s:i}}}", "ticket", (json_int_t)i,
			  "author", "operator@example", "objects",
			  "endpoint/e00001", "port", (int)i);
	ticket_t ticket;
	config_problem_t problem;

	g_assert_cmpint(ticket_parse(content, &ticket, &problem), ==, 0);
	ticket_head_append(head, &ticket, 1700000000000);
	ticket_free(&ticket);
}

static void fill_head(ticket_head_t *head, size_t entries)
{
	ticket_head_init(head, TICKET_PAGE_ENTRIES);
	for (size_t i = 1; i <= entries; i++)
		append_log_entry(head, i);
}

/** Mean size of the heads written for `n` tickets, without pages, bytes. */
static double paged_head(size_t n, int variant G_GNUC_UNUSED)
{
	ticket_head_t head;
	double bytes = 0;

	ticket_head_init(&head, TICKET_PAGE_ENTRIES);
	for (size_t i = 1; i <= n; i++) {
		uint64_t number;
		json_t *page = ticket_head_make_page(&head, i - 1, &number);
		json_t *value;

		if (page)
			ticket_head_mark_page_written(&head);
		json_decref(page);
		append_log_entry(&head, i);
		value = ticket_head_to_json(&head);
		bytes += (double)json_dumpb(value, NULL, 0, JSON_COMPACT);
		json_decref(value);
	}
	ticket_head_free(&head);
	return bytes / (double)n;
}

/**
 * Cost of a head with `n` log entries.
 * @return time of one ticket_decide(), us (variant 0), or size of the head as
 *         JSON, bytes (1)
 */
static double ticket_log(size_t n, int variant)
{
	CLEANUP_JSON json_t *content =
		json_pack("{s:i,s:s,s:{s:{}}}", "ticket", 9999, "author", "a",
			  "objects", "model/m");
	CLEANUP_JSON json_t *value = NULL;
	ticket_state_t state;
	ticket_head_t head;
	ticket_t ticket;
	ticket_result_t result;
	config_problem_t problem;
	double us;

	fill_head(&head, n);
	value = ticket_head_to_json(&head);
	ticket_state_init(&state);
	ticket_parse(content, &ticket, &problem);
	us = TIMED(LOOPS, ticket_decide(&head, &state, &ticket, &result));
	g_assert_false(result.err);
	ticket_free(&ticket);
	ticket_state_free(&state);
	ticket_head_free(&head);
	return variant ? (double)json_dumpb(value, NULL, 0, JSON_COMPACT) : us;
}

/** Time to seal and check an envelope with `n` bytes of payload, us. */
static double peer_envelope(size_t n, int variant G_GNUC_UNUSED)
{
	static peer_auth_t auth;
	g_autofree char *payload = g_malloc0(n);
	peer_envelope_t envelope = { .payload = { (u_int)n, payload } };

	peer_auth_init(&auth, 1, "secret", 2, 3);
	peer_auth_seal(&auth, &envelope, 2, 0);
	g_assert_cmpint(peer_auth_check(&auth, &envelope), ==,
			ERR_PEER_SESSION);
	return TIMED(LOOPS, {
		peer_auth_seal(&auth, &envelope, 2, auth.senders[0].challenge);
		g_assert_cmpint(peer_auth_check(&auth, &envelope), ==, 0);
	});
}

/** Size of a gossip message with `n` rumors, bytes. */
static double gossip_bytes(size_t n, int variant G_GNUC_UNUSED)
{
	peer_rumor_t rumors[PEER_RUMORS_MAX] = { 0 };
	peer_message_t message = { .kind = PEER_PUSH };
	peer_envelope_t envelope = { 0 };

	for (size_t i = 0; i < n; i++)
		rumors[i].kind = PEER_RUMOR_MEMBER;
	message.peer_message_t_u.gossip.rumors.rumors_len = (u_int)n;
	message.peer_message_t_u.gossip.rumors.rumors_val = rumors;
	return (double)(xdr_sizeof((xdrproc_t)xdr_peer_message_t, &message) +
			xdr_sizeof((xdrproc_t)xdr_peer_envelope_t, &envelope));
}

/** Time to receive a gossip message and tick with `n` members, us. */
static double membership_members(size_t n, int variant G_GNUC_UNUSED)
{
	g_autofree membership_t *membership = g_new0(membership_t, 1);
	peer_member_t member = { .id = 1, .incarnation = 1 };
	membership_action_t actions[MEMBERSHIP_ACTIONS_MAX];
	peer_rumor_t new_rumors[PEER_RUMORS_MAX];
	peer_gossip_t gossip = { 0 };

	membership_init(membership, &member, 1, 0);
	for (member.id = 2; member.id <= n; member.id++)
		membership_add_listed_member(membership, &member, 0);
	return TIMED(LOOPS, {
		member.id = 2 + i % (n - 1);
		gossip.sender = member;
		membership_receive(membership, &gossip, 1, new_rumors);
		membership_tick(membership, 1, actions);
	});
}

/** Time to check an unknown fingerprint with `n` entries, us. */
static double quarantine_entries(size_t n, int variant G_GNUC_UNUSED)
{
	g_autofree quarantine_t *quarantine = g_new0(quarantine_t, 1);

	quarantine_init(quarantine, 600000);
	for (size_t i = 1; i <= n; i++)
		quarantine_record_crash(quarantine, i, i, 1);
	return TIMED(LOOPS, quarantine_check(quarantine, ~i, 2, NULL));
}

/**
 * Time of fleet_tick() (`tick` is not 0) or of fleet_poll_due() with `n`
 * engines in pools of 100, us.
 */
static double fleet_scan(size_t n, int tick)
{
	fleet_t *fleet = fleet_new(ROUTING_PREFIX, 1);
	g_autofree fleet_endpoint_config_t *configs =
		g_new0(fleet_endpoint_config_t, n);
	g_autofree fleet_target_t *due = g_new0(fleet_target_t, n);
	fleet_pool_config_t pools[32] = { 0 };
	fleet_poll_interval_t interval = { 1000000, 1000000, 10000 };
	double us;

	for (size_t i = 0; i < n; i++) {
		configs[i].id = g_intern_string(numbered_name("e", i));
		configs[i].id_hash = hash_string(configs[i].id);
		configs[i].address = "127.0.0.1";
	}
	for (size_t i = 0; i < n / 100; i++) {
		pools[i].id = g_intern_string(numbered_name("p", i));
		pools[i].engines = true;
		pools[i].endpoints = configs + i * 100;
		pools[i].endpoint_count = 100;
	}
	g_assert_cmpint(fleet_configure(fleet, pools, n / 100, 900, 10, 1), ==,
			0);
	fleet_poll_due(fleet, &interval, 2000000, due, n);
	us = tick ? TIMED(200, fleet_tick(fleet, 2000000 + i))
		  : TIMED(200,
			  fleet_poll_due(fleet, &interval, 2000001, due, 1));
	fleet_free(fleet);
	return us;
}

/** Time to print all metrics after `n` values were observed, us. */
static double metrics_print_us(size_t n, int variant G_GNUC_UNUSED)
{
	for (size_t i = 0; i < n; i++)
		metrics_observe_ms(METRIC_TTFT_URGENT, i);
	return TIMED(200, free(metrics_print()));
}

/* Sizes to measure; a 0 ends a list with fewer than SIZES_MAX. */
static const size_t pool_sizes[SIZES_MAX] = { 10, 35, 100, 200, 400, 800 };
static const size_t prompt_sizes[SIZES_MAX] = { 16, 64, 256, 1024 };
static const size_t token_sizes[SIZES_MAX] = { 2000, 8000, 32000, 128000 };
static const size_t waiting_sizes[SIZES_MAX] = { 16, 64, 256, 512, 900 };
static const size_t endpoint_sizes[SIZES_MAX] = { 1500, 3000, 6000, 12000 };
static const size_t customer_sizes[SIZES_MAX] = { 80, 155, 310, 620 };
static const size_t log_sizes[SIZES_MAX] = { 64, 128, 256, 512 };
static const size_t byte_sizes[SIZES_MAX] = { 256, 1024, 4096, 16384, 65536 };
static const size_t rumor_sizes[SIZES_MAX] = { 2, 8, 16, 24 };
static const size_t member_sizes[SIZES_MAX] = { 14, 85, 170, 340, 1000 };
static const size_t quarantine_sizes[SIZES_MAX] = { 16, 64, 128, 256 };
static const size_t fleet_sizes[SIZES_MAX] = { 100, 500, 1000, 2000 };
static const size_t value_sizes[SIZES_MAX] = { 100, 1000, 10000, 100000 };

/** The variant is passed to `measure`; 0 if there is only one. */
static const struct series {
	const char *name;
	const char *unit;
	const char *by; /**< What the size counts. */
	double (*measure)(size_t n, int variant);
	int variant;
	const size_t *sizes;
} series[] = {
	{ "route", "us", "pool", route, 0, pool_sizes },
	{ "route", "us", "prompt", route, 1, prompt_sizes },
	{ "route", "us", "customer", route, 2, customer_sizes },
	{ "prefix", "us", "token", prefix_tokens, 0, token_sizes },
	{ "admission", "us", "waiting", admission_waiting, 0, waiting_sizes },
	{ "build", "us", "endpoint", config_cost, 0, endpoint_sizes },
	{ "build", "B", "endpoint", config_cost, 1, endpoint_sizes },
	{ "copy", "us", "endpoint", config_cost, 2, endpoint_sizes },
	{ "build", "us", "customer", config_cost, 3, customer_sizes },
	{ "build", "B", "customer", config_cost, 4, customer_sizes },
	{ "snapshot", "B", "endpoint", config_cost, 5, endpoint_sizes },
	{ "ticket", "us", "log entry", ticket_log, 0, log_sizes },
	{ "head", "B", "log entry", ticket_log, 1, log_sizes },
	{ "paged-head", "B", "log entry", paged_head, 0, log_sizes },
	{ "envelope", "us", "byte", peer_envelope, 0, byte_sizes },
	{ "gossip", "B", "rumor", gossip_bytes, 0, rumor_sizes },
	{ "membership", "us", "member", membership_members, 0, member_sizes },
	{ "quarantine", "us", "entry", quarantine_entries, 0,
	  quarantine_sizes },
	{ "fleet-poll", "us", "endpoint", fleet_scan, 0, fleet_sizes },
	{ "fleet-tick", "us", "endpoint", fleet_scan, 1, fleet_sizes },
	{ "metrics", "us", "value", metrics_print_us, 0, value_sizes },
};

static const struct {
	const char *name;
	size_t bytes;
} table_sizes[] = {
	{ "admission_t", sizeof(admission_t) },
	{ "belief_t", sizeof(cache_index_t) },
	{ "prefix_stats_t", sizeof(prefix_stats_t) },
	{ "routing_t, a pool", sizeof(routing_t) },
	{ "endpoint_t, an endpoint", sizeof(endpoint_t) },
	{ "membership_t", sizeof(membership_t) },
	{ "peer_auth_t", sizeof(peer_auth_t) },
	{ "quarantine_t", sizeof(quarantine_t) },
	{ "config_sync_t", sizeof(config_sync_t) },
	{ "controller_t, a pool", sizeof(controller_t) },
	{ "lease_t", sizeof(lease_t) },
};

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static double median(const struct series *entry, size_t n)
{
	double values[REPEATS];

	for (int i = 0; i < REPEATS; i++)
		values[i] = entry->measure(n, entry->variant);
	qsort(values, REPEATS, sizeof(*values), compare_doubles);
	return values[REPEATS / 2];
}

/** Measures one series, fits a line, prints it and returns it as JSON. */
static json_t *fit_line(const struct series *entry)
{
	double y[SIZES_MAX] = { 0 };
	double mean_x = 0;
	double mean_y = 0;
	double xy = 0;
	double xx = 0;
	double error = 0;
	double slope;
	size_t count = 0;
	json_t *points = json_array();

	for (; count < SIZES_MAX && entry->sizes[count]; count++) {
		y[count] = median(entry, entry->sizes[count]);
		mean_x += (double)entry->sizes[count];
		mean_y += y[count];
		json_array_append_new(points,
				      json_pack("[I,f]",
						(json_int_t)entry->sizes[count],
						y[count]));
	}
	mean_x /= (double)count;
	mean_y /= (double)count;
	for (size_t i = 0; i < count; i++) {
		xy += ((double)entry->sizes[i] - mean_x) * (y[i] - mean_y);
		xx += pow((double)entry->sizes[i] - mean_x, 2);
	}
	slope = xy / xx;
	for (size_t i = 0; i < count; i++)
		error += pow(y[i] - mean_y -
				     slope * ((double)entry->sizes[i] - mean_x),
			     2);
	error = sqrt(error / (double)count) / mean_y * 100;
	printf("%-10s %-2s %-9s %11.5f %11.2f %6.1f %11.2f %7.2f\n",
	       entry->name, entry->unit, entry->by, slope,
	       mean_y - slope * mean_x, error, y[count - 1],
	       y[count - 1] / y[0]);
	return json_pack("{s:s,s:s,s:s,s:f,s:f,s:f,s:f,s:o}", "name",
			 entry->name, "unit", entry->unit, "by", entry->by,
			 "slope", slope, "at_zero", mean_y - slope * mean_x,
			 "error_percent", error, "last_over_first",
			 y[count - 1] / y[0], "points", points);
}

int main(int argc, const char **argv)
{
	CLEANUP_JSON json_t *root = json_pack("{s:[],s:{}}", "series", "bytes");
	int outcome = settings_read(argc, argv, settings, "", NULL);

	if (outcome != SETTINGS_RUN)
		return outcome < 0;
	if (sodium_init() < 0)
		return 1;
	printf("%-10s %-2s %-9s %11s %11s %6s %11s %7s\n", "series", "", "by",
	       "slope", "at 0", "error%", "largest", "ratio");
	for (size_t i = 0; i < G_N_ELEMENTS(series); i++)
		json_array_append_new(json_object_get(root, "series"),
				      fit_line(&series[i]));
	for (size_t i = 0; i < G_N_ELEMENTS(table_sizes); i++) {
		printf("%-26s %9zu B\n", table_sizes[i].name,
		       table_sizes[i].bytes);
		json_object_set_new(
			json_object_get(root, "bytes"), table_sizes[i].name,
			json_integer((json_int_t)table_sizes[i].bytes));
	}
	return json_path && json_dump_file(root, json_path, JSON_INDENT(1));
}
