#include "process/peer_news.h"

#include <rpc/rpc.h>
#include <string.h>

#include "process/error.h"

/** First number of each datagram; its end rises with the format. */
#define NEWS_MAGIC 0x616d7603U

#define FLAG_STOPPING 1U
#define FLAG_WATCHING 2U
#define FLAG_REFUSED 4U

static bool code_load(XDR *xdr, peer_load_t *load)
{
	return xdr_uint64_t(xdr, &load->endpoint) &&
	       xdr_uint32_t(xdr, &load->runs) &&
	       xdr_uint32_t(xdr, &load->tokens) &&
	       xdr_uint32_t(xdr, &load->prefill);
}

static bool code_weights(XDR *xdr, peer_weights_t *weights)
{
	return xdr_uint64_t(xdr, &weights->endpoint) &&
	       xdr_uint64_t(xdr, &weights->weights) &&
	       xdr_uint32_t(xdr, &weights->loading_ms);
}

static bool code_note(XDR *xdr, cache_note_t *note)
{
	return xdr_uint64_t(xdr, &note->source) &&
	       xdr_uint64_t(xdr, &note->key) &&
	       xdr_uint32_t(xdr, &note->tokens);
}

static bool code_head(XDR *xdr, peer_news_t *news)
{
	uint32_t magic = NEWS_MAGIC;
	uint32_t flags = (news->stopping ? FLAG_STOPPING : 0) |
			 (news->watching ? FLAG_WATCHING : 0) |
			 (news->refused ? FLAG_REFUSED : 0);
	char *name = news->name;

	if (!xdr_uint32_t(xdr, &magic) || magic != NEWS_MAGIC ||
	    !xdr_string(xdr, &name, PEER_NAME_MAX_BYTES - 1) ||
	    !xdr_uint64_t(xdr, &news->incarnation) ||
	    !xdr_uint32_t(xdr, &news->sequence) ||
	    !xdr_uint32_t(xdr, &news->domain) ||
	    !xdr_uint32_t(xdr, &news->link_mbps) ||
	    !xdr_uint32_t(xdr, &flags) || !xdr_uint64_t(xdr, &news->fencing))
		return false;
	news->stopping = flags & FLAG_STOPPING;
	news->watching = flags & FLAG_WATCHING;
	news->refused = flags & FLAG_REFUSED;
	for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
		if (!xdr_uint64_t(xdr, &news->tables[i].revision) ||
		    !xdr_uint64_t(xdr, &news->tables[i].digest))
			return false;
	}
	return true;
}

static bool code_failed(XDR *xdr, peer_failed_t *failed)
{
	return xdr_uint64_t(xdr, &failed->endpoint) &&
	       xdr_uint32_t(xdr, &failed->ejected_ms);
}

static bool code_count(XDR *xdr, uint32_t *count, uint32_t most)
{
	return xdr_uint32_t(xdr, count) && *count <= most;
}

/* One function for both directions, so that they cannot differ. */
static bool code_news(XDR *xdr, peer_news_t *news)
{
	bool good = code_head(xdr, news) &&
		    code_count(xdr, &news->load_count, PEER_LOADS_MAX);

	for (uint32_t i = 0; good && i < news->load_count; i++)
		good = code_load(xdr, &news->loads[i]);
	good = good && code_count(xdr, &news->weights_count, PEER_WEIGHTS_MAX);
	for (uint32_t i = 0; good && i < news->weights_count; i++)
		good = code_weights(xdr, &news->weights[i]);
	good = good && code_count(xdr, &news->note_count, PEER_NOTES_MAX);
	for (uint32_t i = 0; good && i < news->note_count; i++)
		good = code_note(xdr, &news->notes[i]);
	good = good && code_count(xdr, &news->failed_count, PEER_FAILED_MAX);
	for (uint32_t i = 0; good && i < news->failed_count; i++)
		good = code_failed(xdr, &news->failed[i]);
	return good;
}

size_t peer_news_room(const peer_news_t *news)
{
	size_t used = PEER_NEWS_HEAD_BYTES +
		      news->weights_count * PEER_WEIGHTS_BYTES +
		      news->failed_count * PEER_FAILED_BYTES +
		      news->load_count * PEER_LOAD_BYTES +
		      news->note_count * PEER_NOTE_BYTES;

	return used < PEER_NEWS_MAX_BYTES ? PEER_NEWS_MAX_BYTES - used : 0;
}

int peer_news_encode(const peer_news_t *news, char *bytes, size_t size)
{
	peer_news_t copy = *news;
	XDR xdr;
	int len;

	xdrmem_create(&xdr, bytes, (u_int)size, XDR_ENCODE);
	len = code_news(&xdr, &copy) ? (int)xdr_getpos(&xdr) : ERR_LIMIT;
	xdr_destroy(&xdr);
	return len;
}

int peer_news_decode(peer_news_t *news, char *bytes, size_t len)
{
	XDR xdr;
	bool good;

	memset(news, 0, sizeof(*news));
	xdrmem_create(&xdr, bytes, (u_int)len, XDR_DECODE);
	good = code_news(&xdr, news) && news->name[0];
	xdr_destroy(&xdr);
	return good ? 0 : ERR_BAD_FIELD;
}
