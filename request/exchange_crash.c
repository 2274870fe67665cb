#include "request/exchange_job.h"

#include <string.h>

#include "process/clock.h"
#include "process/error.h"
#include "process/event.h"
#include "process/hash.h"
#include "process/metrics.h"

/** A run that began to answer less than this before its endpoint was lost is
 * still a suspect, and does not clear its keys before, ms: the first bytes may
 * leave the endpoint while it crashes. */
#define BEGINNING_MS 300
/** Interval at which an instance repeats its blocked keys to the others, ms. It
 * is longer with more instances, as each of them repeats all. */
#define SHARE_BLOCKED_MS 1000
#define SHARE_BLOCKED_PER_INSTANCE_MS 50

enum {
	/** All parts of a prompt but the last, and the request as a whole. */
	CRASH_KEYS_MAX = REQUEST_PARTS_MAX,
	/** A body is hashed in blocks of this size, bytes. */
	BODY_BLOCK_BYTES = 16384,
};

/* The result does not depend on the pieces in which the body was received. */
static uint64_t hash_body(uint64_t key, struct evbuffer *body)
{
	char block[BODY_BLOCK_BYTES];
	struct evbuffer_ptr position;
	ev_ssize_t len;

	evbuffer_ptr_set(body, &position, 0, EVBUFFER_PTR_SET);
	while ((len = evbuffer_copyout_from(body, &position, block,
					    sizeof(block))) > 0) {
		key = hash_chain(key, block, (size_t)len);
		evbuffer_ptr_set(body, &position, (size_t)len,
				 EVBUFFER_PTR_ADD);
	}
	return key;
}

/* Identifies requests of one customer that are alike but for their ids. */
static uint64_t request_key(exchange_t *exchange)
{
	const inbound_request_t *request = exchange->request;
	const char *target = http_head_target(request->head);
	uint64_t key =
		exchange->customer ? hash_string(exchange->customer->name) : 0;

	if (exchange->request_key)
		return exchange->request_key;
	key = hash_chain(key, &request->head->method,
			 sizeof(request->head->method));
	key = hash_chain(key, target, strlen(target));
	if (request->body)
		key = hash_body(key, request->body);
	exchange->request_key = key;
	return key;
}

static size_t list_keys(exchange_t *exchange, crash_key_t keys[CRASH_KEYS_MAX])
{
	const request_headers_t *headers = &exchange->headers;
	uint64_t model = headers->model ? hash_string(headers->model) : 0;
	size_t count = 0;

	if (!exchange->request)
		return 0;
	for (uint32_t i = 0; i + 1 < headers->part_count; i++)
		keys[count++] = (crash_key_t){
			.id = hash_chain(model, &headers->parts[i].id,
					 sizeof(headers->parts[i].id)),
			.depth = i,
		};
	keys[count++] = (crash_key_t){ .id = request_key(exchange),
				       .depth = CRASH_KEY_REQUEST };
	return count;
}

static void share(exchange_env_t *env, const crash_news_t *news,
		  uint64_t now_ms)
{
	crash_report_t report = crash_report_from_news(news, now_ms);

	crash_ring_put(env->own_crash_news, &report);
}

/* Logs the keys that became blocked, and shares those that this instance found
 * itself. */
static void handle_new_blocks(exchange_env_t *env, bool by_peer,
			      uint64_t now_ms)
{
	crash_evidence_t *evidence = &env->crash_evidence;

	for (size_t i = 0; i < evidence->blocked_count; i++) {
		blocked_key_t *blocked = &evidence->blocked[i];
		crash_news_t news;

		if (blocked->announced)
			continue;
		blocked->announced = true;
		env->has_new_blocks = true;
		event_log(EVENT_CRASH_KEY_BLOCKED,
			  "key=%016llx depth=%u probes=%u peer=%d",
			  (unsigned long long)blocked->key.id,
			  blocked->key.depth, blocked->probes, by_peer);
		if (by_peer)
			continue;
		crash_evidence_describe_blocked(evidence, i, now_ms, &news);
		share(env, &news, now_ms);
	}
	metrics_set(METRIC_CRASH_BLOCKED_KEYS,
		    (int64_t)evidence->blocked_count);
}

static void apply_own(exchange_t *exchange, const crash_news_t *news,
		      uint64_t now_ms)
{
	exchange_env_t *env = exchange->env;

	if (!crash_evidence_apply(&env->crash_evidence, news, now_ms))
		return;
	event_log(news->kind == CRASH_NEWS_CLEARED ? EVENT_CRASH_KEY_CLEARED
						   : EVENT_CRASH_KEY_SUSPECT,
		  "id=%s key=%016llx depth=%u endpoint=%s", exchange->id,
		  (unsigned long long)news->key.id, news->key.depth,
		  exchange->endpoint ? exchange->endpoint->id : "-");
	share(env, news, now_ms);
}

void exchange_report_crash(exchange_t *exchange)
{
	uint64_t now_ms = clock_now_ms();
	crash_key_t keys[CRASH_KEYS_MAX];

	if (exchange->begun_ms && now_ms - exchange->begun_ms >= BEGINNING_MS)
		return;
	/* The deepest part first: it is blocked before the others. */
	for (size_t i = list_keys(exchange, keys); i-- > 0;) {
		crash_news_t news = {
			.kind = CRASH_NEWS_SUSPECT,
			.key = keys[i],
			.crash = exchange_cache_index_source(
				exchange->endpoint->load),
			.request = request_key(exchange),
		};

		apply_own(exchange, &news, now_ms);
	}
	handle_new_blocks(exchange->env, false, now_ms);
}

static void log_refuted(const crash_evidence_t *evidence, const char *endpoint,
			bool by_peer)
{
	event_log(EVENT_CRASH_REFUTED, "endpoint=%s peer=%d blocked=%zu",
		  endpoint, by_peer, evidence->blocked_count);
}

void exchange_report_head(exchange_t *exchange)
{
	exchange_env_t *env = exchange->env;
	endpoint_load_t *load = exchange->endpoint->load;
	uint64_t crash = exchange_cache_index_source(load);
	uint64_t now_ms = clock_now_ms();
	crash_news_t news = { .kind = CRASH_NEWS_REFUTED, .crash = crash };

	if (!exchange->answer.has_response_stamp || !exchange->call ||
	    !crash_evidence_is_outlived(&env->crash_evidence, crash,
					outbound_connected_ms(exchange->call),
					exchange->sent_ms))
		return;
	news.age_ms = (uint32_t)(now_ms - exchange->sent_ms);
	crash_evidence_apply(&env->crash_evidence, &news, now_ms);
	log_refuted(&env->crash_evidence, load->id, false);
	share(env, &news, now_ms);
	handle_new_blocks(env, false, now_ms);
}

static void clear_keys(exchange_t *exchange, uint64_t now_ms)
{
	const crash_evidence_t *evidence = &exchange->env->crash_evidence;
	crash_key_t keys[CRASH_KEYS_MAX];
	size_t count;

	exchange->keys_cleared = true;
	if (crash_evidence_is_empty(evidence))
		return;
	count = list_keys(exchange, keys);
	for (size_t i = 0; i < count; i++) {
		crash_news_t news = { .kind = CRASH_NEWS_CLEARED,
				      .key = keys[i] };

		if (crash_evidence_has(evidence, keys[i].id))
			apply_own(exchange, &news, now_ms);
	}
	handle_new_blocks(exchange->env, false, now_ms);
}

void exchange_report_progress(exchange_t *exchange, uint64_t now_ms)
{
	if (!exchange->begun_ms)
		exchange->begun_ms = now_ms;
	if (!exchange->keys_cleared &&
	    now_ms - exchange->begun_ms >= BEGINNING_MS)
		clear_keys(exchange, now_ms);
}

void exchange_report_completed(exchange_t *exchange)
{
	if (!exchange->keys_cleared)
		clear_keys(exchange, clock_now_ms());
}

/* Other instances may not have read it: it is shared as own news are. */
static void report_stored(exchange_env_t *env, const crash_news_t *news,
			  uint64_t now_ms)
{
	if (news->kind == CRASH_NEWS_SUSPECT)
		event_log(EVENT_CRASH_KEY_SUSPECT,
			  "id=- key=%016llx depth=%u endpoint=-",
			  (unsigned long long)news->key.id, news->key.depth);
	share(env, news, now_ms);
}

void exchange_apply_crash_news(exchange_env_t *env, uint64_t now_ms)
{
	crash_report_t report;

	while (crash_ring_take(env->peer_crash_news, &report)) {
		crash_news_t news = crash_report_news(&report, now_ms);
		bool is_news = crash_evidence_apply(&env->crash_evidence, &news,
						    now_ms);

		if (is_news && news.kind == CRASH_NEWS_REFUTED)
			log_refuted(&env->crash_evidence, "-", true);
		if (is_news && report.from_store)
			report_stored(env, &news, now_ms);
		handle_new_blocks(env, news.kind == CRASH_NEWS_BLOCKED, now_ms);
	}
	crash_evidence_advance(&env->crash_evidence, now_ms);
	handle_new_blocks(env, false, now_ms);
}

int exchange_check_crash_evidence(exchange_t *exchange, uint64_t now_ms)
{
	exchange_env_t *env = exchange->env;
	crash_key_t keys[CRASH_KEYS_MAX];
	size_t count;

	exchange->is_probe = false;
	exchange_apply_crash_news(env, now_ms);
	if (!env->crash_evidence.blocked_count)
		return 0;
	count = list_keys(exchange, keys);
	switch (crash_evidence_decide(&env->crash_evidence, keys, count,
				      &env->place, now_ms,
				      &exchange->retry_after_ms)) {
	case CRASH_RUN:
		return 0;
	case CRASH_PROBE:
		exchange->is_probe = true;
		event_log(EVENT_CRASH_PROBE, "id=%s", exchange->id);
		exchange_share_blocked(env, now_ms);
		return 0;
	case CRASH_REFUSE:
		break;
	}
	event_log(EVENT_CRASH_REFUSED, "id=%s runs=%u retry_after_ms=%llu",
		  exchange->id, exchange->runs,
		  (unsigned long long)exchange->retry_after_ms);
	return ERR_CRASH_BLOCKED;
}

void exchange_share_blocked(exchange_env_t *env, uint64_t now_ms)
{
	env->blocked_shared_ms = now_ms;
	for (size_t i = 0; i < env->crash_evidence.blocked_count; i++) {
		crash_news_t news;

		crash_evidence_describe_blocked(&env->crash_evidence, i, now_ms,
						&news);
		share(env, &news, now_ms);
	}
}

static bool is_blocked(exchange_t *exchange)
{
	crash_key_t keys[CRASH_KEYS_MAX];
	size_t count = list_keys(exchange, keys);

	for (size_t i = 0; i < count; i++) {
		if (crash_evidence_blocked(&exchange->env->crash_evidence,
					   keys[i].id))
			return true;
	}
	return false;
}

/* Ends runs that would crash their endpoints when they begin. An order is left
 * alone: it may have had its effect. */
static void end_blocked_runs(exchange_env_t *env)
{
	exchange_t *exchange = LIST_FIRST(&env->open);

	while (exchange) {
		exchange_t *next = LIST_NEXT(exchange, entry);

		if (exchange->call && exchange->endpoint &&
		    !exchange->begun_ms && !exchange->is_probe &&
		    exchange->route->kind != ROUTE_NON_IDEMPOTENT &&
		    is_blocked(exchange)) {
			exchange_log_failure(exchange, "crash_blocked");
			exchange_cancel_attempt(exchange);
			exchange_refuse(exchange, ERR_ENDPOINT_LOST);
		}
		exchange = next;
	}
}

/* Passes what is known on to the store, if this instance writes there. */
static void put_snapshot(exchange_env_t *env, uint64_t now_ms)
{
	crash_snapshot_t snapshot;

	if (!atomic_load(&env->crash_snapshots->wanted))
		return;
	crash_snapshot_take(&snapshot, &env->crash_evidence, now_ms);
	crash_snapshot_put(env->crash_snapshots, &snapshot);
}

void exchange_tick_crash_evidence(exchange_env_t *env)
{
	uint64_t now_ms = clock_now_ms();
	uint64_t interval_ms =
		SHARE_BLOCKED_PER_INSTANCE_MS * env->place.instances;

	exchange_apply_crash_news(env, now_ms);
	if (env->has_new_blocks)
		end_blocked_runs(env);
	env->has_new_blocks = false;
	if (interval_ms < SHARE_BLOCKED_MS)
		interval_ms = SHARE_BLOCKED_MS;
	if (now_ms - env->blocked_shared_ms >= interval_ms)
		exchange_share_blocked(env, now_ms);
	put_snapshot(env, now_ms);
}
