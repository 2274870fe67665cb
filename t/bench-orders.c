/*
 * Store calls an order: one record each against grouped claims in journal
 * objects, at several arrival rates, on virtual time.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "process/error.h"
#include "process/order.h"
#include "process/order_journal.h"
#include "t/lib/sim.h"

enum {
	NODES = 14,
	SHARDS_MAX = 64,
	RUN_MS = 30000,
	/** Short, because a journal for a day would not fit its object. */
	RETENTION_MS = 10000,
	ENDPOINT_MS = 50,
	STORE_DELAY_MS = 4,
};

typedef struct setup {
	const char *name;
	int shards; /**< 0: one record for each order. */
	uint32_t gather_ms;
	/** Orders are forwarded to one instance for each shard. */
	bool one_writer;
} setup_t;

static const setup_t setups[] = {
	{ "record", 0, 0, false },
	{ "journal, 4 shards", 4, 0, false },
	{ "journal, 4 shards, 20 ms", 4, 20, false },
	{ "journal, 16 shards, 20 ms", 16, 20, false },
	{ "journal, 64 shards, 20 ms", 64, 20, false },
	{ "journal, 4 shards, 20 ms, one writer", 4, 20, true },
	{ "journal, 16 shards, 20 ms, one writer", 16, 20, true },
};

static const uint32_t rates[] = { 2, 10, 50, 120 };

typedef struct bench bench_t;

typedef struct node {
	bench_t *bench;
	order_journal_t journals[SHARDS_MAX];
	order_journal_entry_t *entries[SHARDS_MAX];
} node_t;

typedef struct request {
	node_t *node;
	order_t order;
	order_answer_t answer;
	int shard;
	uint64_t begun_ms;
	bool finished;
} request_t;

struct bench {
	sim_t sim;
	const setup_t *setup;
	order_settings_t settings;
	node_t nodes[NODES];
	request_t *requests;
	size_t begun;
	size_t total;
	uint64_t *claim_ms; /**< Time to the send, of those sent. */
	size_t sent;
	size_t refused;
};

/** Context of one call of a journal; freed with its answer. */
typedef struct call {
	node_t *node;
	int shard;
	order_journal_action_kind_t kind;
	uint32_t number;
} call_t;

static void *zeroed(size_t count, size_t size)
{
	void *memory = calloc(count, size);

	if (!memory)
		abort();
	return memory;
}

static void perform(request_t *request, const order_actions_t *actions);
static void perform_journal(node_t *node, int shard,
			    const order_journal_actions_t *actions);

static void step(request_t *request, const order_event_t *event)
{
	order_actions_t actions;

	order_step(&request->order, event, request->node->bench->sim.now_ms,
		   &actions);
	perform(request, &actions);
}

static void simple_event(void *context, uint64_t argument)
{
	request_t *request = context;
	order_event_t event = { .kind = (order_event_kind_t)(argument & 0xff),
				.call = (uint32_t)(argument >> 8) };

	if (event.kind == ORDER_EVENT_ANSWERED)
		event.answered.answer = &request->answer;
	step(request, &event);
}

static void store_answered(void *context, uint64_t argument,
			   const sim_answer_t *answer)
{
	request_t *request = context;
	order_event_t event = { .kind = ORDER_EVENT_WRITTEN,
				.call = (uint32_t)(argument >> 1) };

	if (argument & 1) {
		event.kind = ORDER_EVENT_READ;
		event.read.result = answer->result;
		event.read.version = answer->version;
		event.read.record = answer->value;
		event.read.unix_ms = (int64_t)request->node->bench->sim.now_ms;
	} else {
		event.written.result = answer->result;
		event.written.version = answer->version;
	}
	step(request, &event);
}

static void store_action(request_t *request, const order_action_t *action)
{
	node_t *node = request->node;
	bench_t *bench = node->bench;
	sim_t *sim = &bench->sim;
	order_journal_actions_t actions;
	uint64_t argument = (uint64_t)action->call << 1;

	if (bench->setup->shards) {
		if (order_journal_submit(&node->journals[request->shard],
					 request, request->order.path, action,
					 sim->now_ms, &actions) < 0)
			abort();
		perform_journal(node, request->shard, &actions);
	} else if (action->kind == ORDER_ACTION_WRITE) {
		sim_write(sim, request->order.path, action->write.if_version,
			  &action->write.record, sizeof(action->write.record),
			  store_answered, request, argument);
	} else {
		sim_read(sim, request->order.path, store_answered, request,
			 argument | 1);
	}
}

static void perform(request_t *request, const order_actions_t *actions)
{
	bench_t *bench = request->node->bench;
	sim_t *sim = &bench->sim;

	for (size_t i = 0; i < actions->count; i++) {
		const order_action_t *a = &actions->items[i];
		uint64_t call = (uint64_t)a->call << 8;

		switch (a->kind) {
		case ORDER_ACTION_WRITE:
		case ORDER_ACTION_READ:
			store_action(request, a);
			break;
		case ORDER_ACTION_WAIT:
			sim_after(sim, a->wait.until_ms - sim->now_ms,
				  simple_event, request,
				  call | ORDER_EVENT_TIMER);
			break;
		case ORDER_ACTION_CONNECT:
			sim_after(sim, 1, simple_event, request,
				  call | ORDER_EVENT_CONNECTED);
			break;
		case ORDER_ACTION_SEND:
			bench->claim_ms[bench->sent++] =
				sim->now_ms - request->begun_ms;
			sim_after(sim, ENDPOINT_MS, simple_event, request,
				  (uint64_t)request->order.call << 8 |
					  ORDER_EVENT_ANSWERED);
			break;
		case ORDER_ACTION_REPLY:
			bench->refused += a->reply.err != 0;
			break;
		case ORDER_ACTION_FINISH:
			request->finished = true;
			break;
		case ORDER_ACTION_CLOSE:
		case ORDER_ACTION_ASK:
			break;
		}
	}
}

static void journal_timer(void *context, uint64_t argument)
{
	call_t *call = context;
	order_journal_actions_t actions;
	uint64_t now_ms = call->node->bench->sim.now_ms;

	(void)argument;
	order_journal_timer(&call->node->journals[call->shard], call->number,
			    now_ms, (int64_t)now_ms, &actions);
	perform_journal(call->node, call->shard, &actions);
	free(call);
}

static void journal_answered(void *context, uint64_t argument,
			     const sim_answer_t *answer)
{
	call_t *call = context;
	order_journal_t *journal = &call->node->journals[call->shard];
	order_journal_actions_t actions;
	uint64_t now_ms = call->node->bench->sim.now_ms;

	(void)argument;
	if (call->kind == ORDER_JOURNAL_READ)
		order_journal_was_read(journal, call->number, answer->result,
				       answer->version, answer->value,
				       answer->size /
					       sizeof(order_journal_entry_t),
				       now_ms, (int64_t)now_ms, &actions);
	else
		order_journal_was_written(journal, call->number, answer->result,
					  answer->version, now_ms,
					  (int64_t)now_ms, &actions);
	perform_journal(call->node, call->shard, &actions);
	free(call);
}

static void perform_journal(node_t *node, int shard,
			    const order_journal_actions_t *actions)
{
	sim_t *sim = &node->bench->sim;
	char key[SIM_KEY_MAX_BYTES];

	snprintf(key, sizeof(key), "journal/%d", shard);
	for (size_t i = 0; i < actions->count; i++) {
		const order_journal_action_t *a = &actions->items[i];
		call_t *call;

		if (a->kind == ORDER_JOURNAL_REPLY) {
			step(a->reply.owner, &a->reply.event);
			continue;
		}
		call = zeroed(1, sizeof(*call));
		*call = (call_t){ node, shard, a->kind, a->call };
		if (a->kind == ORDER_JOURNAL_WAIT)
			sim_after(sim, a->until_ms - sim->now_ms, journal_timer,
				  call, 0);
		else if (a->kind == ORDER_JOURNAL_READ)
			sim_read(sim, key, journal_answered, call, 0);
		else
			sim_write(sim, key, a->write.if_version,
				  a->write.entries,
				  a->write.count * sizeof(*a->write.entries),
				  journal_answered, call, 0);
	}
}

static void begin(void *context, uint64_t mean_us)
{
	bench_t *bench = context;
	sim_t *sim = &bench->sim;
	request_t *request = &bench->requests[bench->begun];
	char key[32];
	order_request_t order = {
		.customer = "customer",
		.key = key,
		.digest = "d",
		.owner = "instance",
		.endpoints = { "e0", "e1" },
		.endpoint_count = 2,
		.nonce = rng_next(&sim->rng),
		.unix_ms = (int64_t)sim->now_ms,
	};
	order_actions_t actions;

	snprintf(key, sizeof(key), "key-%zu", bench->begun++);
	request->node = &bench->nodes[rng_below(&sim->rng, NODES)];
	request->begun_ms = sim->now_ms;
	request->answer.http_status = 201;
	if (bench->setup->shards)
		request->shard = (int)(hash_string(key) %
				       (unsigned)bench->setup->shards);
	if (bench->setup->one_writer)
		request->node = &bench->nodes[request->shard % NODES];
	order_begin(&request->order, &bench->settings, &order, sim->now_ms,
		    &actions);
	perform(request, &actions);
	if (bench->begun < bench->total)
		sim_after(
			sim,
			(uint64_t)(rng_exponential(&sim->rng, (double)mean_us) /
				   1000),
			begin, bench, mean_us);
}

static int compare(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

static void print_row(bench_t *bench, uint32_t rate)
{
	double orders = (double)bench->total;

	qsort(bench->claim_ms, bench->sent, sizeof(uint64_t), compare);
	printf("| %u | %s | %.2f | %.2f | %.1f | %" PRIu64 " | %" PRIu64
	       " | %.2f |\n",
	       rate, bench->setup->name, (double)bench->sim.writes / orders,
	       (double)bench->sim.reads / orders,
	       (double)bench->sim.write_bytes / orders / 1000,
	       bench->sent ? bench->claim_ms[bench->sent / 2] : 0,
	       bench->sent ? bench->claim_ms[bench->sent * 99 / 100] : 0,
	       100 * (double)bench->refused / orders);
}

static void run(uint64_t seed, const setup_t *setup, uint32_t rate)
{
	static const sim_faults_t faults = { .delay_max_ms = STORE_DELAY_MS };
	bench_t *bench = zeroed(1, sizeof(*bench));
	size_t entry_max = 64;

	sim_init(&bench->sim, seed, &faults);
	bench->setup = setup;
	bench->settings = order_default_settings;
	bench->settings.retention_ms = RETENTION_MS;
	bench->total = (size_t)rate * RUN_MS / 1000;
	bench->requests = zeroed(bench->total, sizeof(*bench->requests));
	bench->claim_ms = zeroed(bench->total, sizeof(uint64_t));
	if (setup->shards)
		entry_max += (size_t)rate * RETENTION_MS / 500 /
			     (size_t)setup->shards;
	for (int n = 0; n < NODES; n++) {
		node_t *node = &bench->nodes[n];

		node->bench = bench;
		for (int s = 0; s < setup->shards; s++) {
			node->entries[s] =
				zeroed(entry_max, sizeof(*node->entries[s]));
			order_journal_init(&node->journals[s], &bench->settings,
					   &bench->sim.rng, node->entries[s],
					   entry_max, setup->gather_ms);
		}
	}
	sim_after(&bench->sim, 0, begin, bench, 1000000 / rate);
	while (sim_run_one(&bench->sim, UINT64_MAX))
		;
	print_row(bench, rate);
	for (size_t i = 0; i < bench->total; i++) {
		if (!bench->requests[i].finished)
			abort();
	}
	for (int n = 0; n < NODES; n++) {
		for (int s = 0; s < setup->shards; s++)
			free(bench->nodes[n].entries[s]);
	}
	free(bench->requests);
	free(bench->claim_ms);
	sim_clear(&bench->sim);
	free(bench);
}

int main(void)
{
	const char *text = getenv("AMV_SEED");
	uint64_t seed = text ? strtoull(text, NULL, 10) : 1;

	printf("seed %" PRIu64 ", %d instances, %d s, store %d to %d ms, "
	       "entry %zu B\n\n",
	       seed, NODES, RUN_MS / 1000, 2, 2 + 2 * STORE_DELAY_MS,
	       sizeof(order_journal_entry_t));
	printf("| orders/s | records | writes an order | reads an order | "
	       "KB written an order | p50 to the send, ms | p99 | refused %% "
	       "|\n|---|---|---|---|---|---|---|---|\n");
	for (size_t r = 0; r < sizeof(rates) / sizeof(rates[0]); r++) {
		for (size_t s = 0; s < sizeof(setups) / sizeof(setups[0]); s++)
			run(seed, &setups[s], rates[r]);
	}
	return 0;
}
