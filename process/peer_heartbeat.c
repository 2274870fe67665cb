#include "process/peer_heartbeat.h"

#include <rpc/rpc.h>
#include <stdio.h>
#include <string.h>

#include "process/error.h"
#include "process/hash.h"
#include "process/list_currency.h"
#include "process/store_revision.h"

/** First number of each datagram; the last byte is the format version. */
#define HEARTBEAT_MAGIC 0x616d7603U

#define FLAG_STOPPING 1U
#define FLAG_WATCHING 2U
#define FLAG_YIELDED 4U
#define FLAG_STORE_FAILS 8U
#define FLAG_MIXED 16U
#define FLAG_COMPLETE 32U
#define FLAG_TAKES_FORWARDED 64U
/** The upper bits of the flags: the age of the list + 1, or 0 if not known. */
#define LIST_AGE_SHIFT 16U

enum {
	LIST_AGE_MAX_MS = UINT16_MAX - 1,
	/** News of endpoints: the kind, the age and the remaining time share a
	 * number. */
	NEWS_KIND_SHIFT = 30,
	NEWS_AGE_SHIFT = 16,
};

static uint32_t list_age_bits(const peer_heartbeat_t *heartbeat)
{
	return heartbeat->list_age_ms <= LIST_AGE_MAX_MS
		       ? (heartbeat->list_age_ms + 1) << LIST_AGE_SHIFT
		       : 0;
}

static uint32_t read_list_age(uint32_t flags)
{
	uint32_t bits = flags >> LIST_AGE_SHIFT;

	return bits ? bits - 1 : LIST_AGE_UNKNOWN;
}

static bool convert_load(XDR *xdr, peer_load_t *load)
{
	return xdr_uint64_t(xdr, &load->endpoint) &&
	       xdr_uint32_t(xdr, &load->runs) &&
	       xdr_uint32_t(xdr, &load->tokens) &&
	       xdr_uint32_t(xdr, &load->prefill);
}

static bool convert_weights(XDR *xdr, peer_weights_t *weights)
{
	return xdr_uint64_t(xdr, &weights->endpoint) &&
	       xdr_uint64_t(xdr, &weights->weights) &&
	       xdr_uint32_t(xdr, &weights->loading_ms);
}

static bool convert_hint(XDR *xdr, cache_hint_t *hint)
{
	return xdr_uint64_t(xdr, &hint->source) &&
	       xdr_uint64_t(xdr, &hint->key) &&
	       xdr_uint32_t(xdr, &hint->tokens);
}

static bool convert_header(XDR *xdr, peer_heartbeat_t *heartbeat)
{
	uint32_t magic = HEARTBEAT_MAGIC;
	uint32_t flags =
		(heartbeat->stopping ? FLAG_STOPPING : 0) |
		(heartbeat->watching ? FLAG_WATCHING : 0) |
		(heartbeat->yielded ? FLAG_YIELDED : 0) |
		(heartbeat->store_fails ? FLAG_STORE_FAILS : 0) |
		(heartbeat->software_mixed ? FLAG_MIXED : 0) |
		(heartbeat->software_complete ? FLAG_COMPLETE : 0) |
		(heartbeat->takes_forwarded ? FLAG_TAKES_FORWARDED : 0) |
		list_age_bits(heartbeat);
	char *name = heartbeat->name;

	if (!xdr_uint32_t(xdr, &magic) || magic != HEARTBEAT_MAGIC ||
	    !xdr_string(xdr, &name, PEER_NAME_MAX_BYTES - 1) ||
	    !xdr_uint64_t(xdr, &heartbeat->incarnation) ||
	    !xdr_uint32_t(xdr, &heartbeat->sequence) ||
	    !xdr_uint32_t(xdr, &heartbeat->domain) ||
	    !xdr_uint32_t(xdr, &heartbeat->link_mbps) ||
	    !xdr_uint32_t(xdr, &flags) ||
	    !xdr_uint64_t(xdr, &heartbeat->fencing))
		return false;
	heartbeat->stopping = flags & FLAG_STOPPING;
	heartbeat->watching = flags & FLAG_WATCHING;
	heartbeat->yielded = flags & FLAG_YIELDED;
	heartbeat->store_fails = flags & FLAG_STORE_FAILS;
	heartbeat->software_mixed = flags & FLAG_MIXED;
	heartbeat->software_complete = flags & FLAG_COMPLETE;
	heartbeat->takes_forwarded = flags & FLAG_TAKES_FORWARDED;
	heartbeat->list_age_ms = read_list_age(flags);
	for (int i = 0; i < PEER_TABLE_COUNT; i++) {
		if (!xdr_uint64_t(xdr, &heartbeat->tables[i].revision) ||
		    !xdr_uint64_t(xdr, &heartbeat->tables[i].digest))
			return false;
	}
	return true;
}

/* Era of the newest table; the others are not sent until they are as new. */
static uint64_t newest_era(const peer_heartbeat_t *heartbeat)
{
	uint64_t revision = 0;

	for (int i = 0; i < PEER_TABLE_COUNT; i++) {
		if (heartbeat->tables[i].revision > revision)
			revision = heartbeat->tables[i].revision;
	}
	return store_revision_era(revision);
}

static void remove_era(peer_heartbeat_t *heartbeat, uint64_t era)
{
	for (int i = 0; i < PEER_TABLE_COUNT; i++) {
		peer_table_t *table = &heartbeat->tables[i];

		table->revision =
			store_revision_era(table->revision) == era
				? store_revision_number(table->revision)
				: 0;
	}
}

static void add_era(peer_heartbeat_t *heartbeat, uint64_t era)
{
	for (int i = 0; i < PEER_TABLE_COUNT; i++) {
		peer_table_t *table = &heartbeat->tables[i];

		if (table->revision)
			table->revision =
				store_revision_make(era, table->revision);
	}
}

static bool convert_failed(XDR *xdr, peer_failed_t *failed)
{
	return xdr_uint64_t(xdr, &failed->endpoint) &&
	       xdr_uint32_t(xdr, &failed->ejected_ms);
}

/* A refuted crash is sent as a clearing without a key: instances of a version
 * that does not know it refuse other kinds with all of the heartbeat. */
static bool convert_crash_news(XDR *xdr, crash_news_t *news)
{
	uint32_t kind = news->kind == CRASH_NEWS_REFUTED ? CRASH_NEWS_CLEARED
							 : news->kind;

	if (!xdr_uint32_t(xdr, &kind) || kind > CRASH_NEWS_BLOCKED ||
	    !xdr_uint64_t(xdr, &news->key.id) ||
	    !xdr_uint32_t(xdr, &news->key.depth) ||
	    !xdr_uint64_t(xdr, &news->crash) ||
	    !xdr_uint64_t(xdr, &news->request) ||
	    !xdr_uint32_t(xdr, &news->probes) ||
	    !xdr_uint32_t(xdr, &news->age_ms))
		return false;
	news->kind = kind == CRASH_NEWS_CLEARED && !news->key.id
			     ? CRASH_NEWS_REFUTED
			     : (crash_news_kind_t)kind;
	return true;
}

static bool convert_count(XDR *xdr, uint32_t *count, uint32_t max)
{
	return xdr_uint32_t(xdr, count) && *count <= max;
}

/* Encodes or decodes, depending on the XDR stream, so that both directions use
 * the same format. */
static bool convert_heartbeat(XDR *xdr, peer_heartbeat_t *heartbeat)
{
	bool ok = convert_header(xdr, heartbeat) &&
		  convert_count(xdr, &heartbeat->load_count, PEER_LOADS_MAX);

	for (uint32_t i = 0; ok && i < heartbeat->load_count; i++)
		ok = convert_load(xdr, &heartbeat->loads[i]);
	ok = ok &&
	     convert_count(xdr, &heartbeat->weights_count, PEER_WEIGHTS_MAX);
	for (uint32_t i = 0; ok && i < heartbeat->weights_count; i++)
		ok = convert_weights(xdr, &heartbeat->weights[i]);
	ok = ok && convert_count(xdr, &heartbeat->hint_count, PEER_HINTS_MAX);
	for (uint32_t i = 0; ok && i < heartbeat->hint_count; i++)
		ok = convert_hint(xdr, &heartbeat->hints[i]);
	ok = ok &&
	     convert_count(xdr, &heartbeat->failed_count, PEER_FAILED_MAX);
	for (uint32_t i = 0; ok && i < heartbeat->failed_count; i++)
		ok = convert_failed(xdr, &heartbeat->failed[i]);
	return ok;
}

static bool convert_limits(XDR *xdr, peer_heartbeat_t *heartbeat)
{
	bool ok = convert_count(xdr, &heartbeat->limit_count, PEER_LIMITS_MAX);

	for (uint32_t i = 0; ok && i < heartbeat->limit_count; i++)
		ok = xdr_uint64_t(xdr, &heartbeat->limits[i].endpoint) &&
		     xdr_uint32_t(xdr, &heartbeat->limits[i].limit) &&
		     xdr_uint32_t(xdr, &heartbeat->limits[i].age_ms);
	return ok;
}

static bool convert_lost(XDR *xdr, peer_heartbeat_t *heartbeat)
{
	bool ok = convert_count(xdr, &heartbeat->lost_count, LOST_SERVICES_MAX);

	for (uint32_t i = 0; ok && i < heartbeat->lost_count; i++)
		ok = xdr_uint32_t(xdr, &heartbeat->lost[i]);
	return ok;
}

static bool convert_endpoint_news(XDR *xdr, endpoint_news_t *news)
{
	uint32_t packed = news->kind << NEWS_KIND_SHIFT |
			  news->age_ms << NEWS_AGE_SHIFT | news->for_ms;

	if (!xdr_uint64_t(xdr, &news->endpoint) || !xdr_uint32_t(xdr, &packed))
		return false;
	news->kind = packed >> NEWS_KIND_SHIFT;
	news->age_ms = packed >> NEWS_AGE_SHIFT & ENDPOINT_NEWS_AGE_MAX_MS;
	news->for_ms = packed & ENDPOINT_NEWS_TIME_MAX_MS;
	return true;
}

static bool convert_all_endpoint_news(XDR *xdr, peer_heartbeat_t *heartbeat)
{
	bool ok = convert_count(xdr, &heartbeat->endpoint_news_count,
				PEER_ENDPOINT_NEWS_MAX);

	for (uint32_t i = 0; ok && i < heartbeat->endpoint_news_count; i++)
		ok = convert_endpoint_news(xdr, &heartbeat->endpoint_news[i]);
	return ok;
}

static size_t endpoint_news_bytes(const peer_heartbeat_t *heartbeat)
{
	uint32_t count = heartbeat->endpoint_news_count;

	return count ? PEER_ENDPOINT_NEWS_COUNT_BYTES +
			       count * PEER_ENDPOINT_NEWS_BYTES
		     : 0;
}

/* Crash news, the era, limits, their clock, lost services and news of endpoints
 * follow in this order, each only if there is something to send in it or in a
 * later one: instances of a version without them ignore what follows. */
static bool convert_all_crash_news(XDR *xdr, peer_heartbeat_t *heartbeat)
{
	bool ok = convert_count(xdr, &heartbeat->crash_news_count,
				PEER_CRASH_NEWS_MAX);

	for (uint32_t i = 0; ok && i < heartbeat->crash_news_count; i++)
		ok = convert_crash_news(xdr, &heartbeat->crash_news[i]);
	return ok;
}

void peer_name_make(char peer_name[PEER_NAME_MAX_BYTES], const char *name)
{
	char hash[HASH_KEY_HEX_BYTES];
	size_t len = strlen(name);

	if (len < PEER_NAME_MAX_BYTES) {
		memcpy(peer_name, name, len + 1);
		return;
	}
	hash_key_to_hex(hash_string(name), hash);
	snprintf(peer_name, PEER_NAME_MAX_BYTES, "%.*s~%s",
		 (int)(PEER_NAME_MAX_BYTES - sizeof(hash) - 1), name, hash);
}

size_t peer_heartbeat_free_bytes(const peer_heartbeat_t *heartbeat)
{
	size_t used = PEER_HEARTBEAT_HEADER_BYTES +
		      heartbeat->weights_count * PEER_WEIGHTS_BYTES +
		      heartbeat->failed_count * PEER_FAILED_BYTES +
		      heartbeat->crash_news_count * PEER_CRASH_NEWS_BYTES +
		      heartbeat->limit_count * PEER_LIMIT_BYTES +
		      heartbeat->lost_count * PEER_LOST_BYTES +
		      endpoint_news_bytes(heartbeat) +
		      heartbeat->load_count * PEER_LOAD_BYTES +
		      heartbeat->hint_count * PEER_HINT_BYTES;

	return used < PEER_HEARTBEAT_MAX_BYTES ? PEER_HEARTBEAT_MAX_BYTES - used
					       : 0;
}

int peer_heartbeat_encode(const peer_heartbeat_t *heartbeat, char *bytes,
			  size_t size)
{
	peer_heartbeat_t copy = *heartbeat;
	uint64_t era = newest_era(heartbeat);
	bool has_news = heartbeat->endpoint_news_count;
	bool has_lost = heartbeat->lost_count || has_news;
	bool has_clock = heartbeat->turn_clock_ms || has_lost;
	bool has_limits = heartbeat->limit_count || has_clock;
	XDR xdr;
	bool ok;
	int len;

	remove_era(&copy, era);
	xdrmem_create(&xdr, bytes, (u_int)size, XDR_ENCODE);
	ok = convert_heartbeat(&xdr, &copy);
	if (copy.crash_news_count || era || has_limits)
		ok = ok && convert_all_crash_news(&xdr, &copy);
	if (era || has_limits)
		ok = ok && xdr_uint64_t(&xdr, &era);
	if (has_limits)
		ok = ok && convert_limits(&xdr, &copy);
	if (has_clock)
		ok = ok && xdr_uint64_t(&xdr, &copy.turn_clock_ms);
	if (has_lost)
		ok = ok && convert_lost(&xdr, &copy);
	if (has_news)
		ok = ok && convert_all_endpoint_news(&xdr, &copy);
	len = ok ? (int)xdr_getpos(&xdr) : ERR_LIMIT;
	xdr_destroy(&xdr);
	return len;
}

int peer_heartbeat_decode(peer_heartbeat_t *heartbeat, char *bytes, size_t len)
{
	uint64_t era = 0;
	XDR xdr;
	bool ok;

	memset(heartbeat, 0, sizeof(*heartbeat));
	xdrmem_create(&xdr, bytes, (u_int)len, XDR_DECODE);
	ok = convert_heartbeat(&xdr, heartbeat) && heartbeat->name[0] &&
	     heartbeat->incarnation;
	if (ok && xdr_getpos(&xdr) < len)
		ok = convert_all_crash_news(&xdr, heartbeat);
	if (ok && xdr_getpos(&xdr) < len)
		ok = xdr_uint64_t(&xdr, &era);
	if (ok && xdr_getpos(&xdr) < len)
		ok = convert_limits(&xdr, heartbeat);
	if (ok && xdr_getpos(&xdr) < len)
		ok = xdr_uint64_t(&xdr, &heartbeat->turn_clock_ms);
	if (ok && xdr_getpos(&xdr) < len)
		ok = convert_lost(&xdr, heartbeat);
	if (ok && xdr_getpos(&xdr) < len)
		ok = convert_all_endpoint_news(&xdr, heartbeat);
	add_era(heartbeat, era);
	xdr_destroy(&xdr);
	return ok ? 0 : ERR_BAD_FIELD;
}
