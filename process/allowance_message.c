#include "process/allowance_message.h"

#include <rpc/rpc.h>
#include <stdbool.h>
#include <string.h>

#include "process/error.h"

/** First number of each datagram; the last byte is the format version. */
#define ALLOWANCE_MAGIC 0x616d7701U

static bool convert_entry(XDR *xdr, allowance_kind_t kind,
			  allowance_entry_t *entry)
{
	return xdr_uint64_t(xdr, &entry->customer) &&
	       xdr_uint32_t(xdr, &entry->part) &&
	       xdr_uint32_t(xdr, &entry->tokens) &&
	       xdr_uint32_t(xdr, kind == ALLOWANCE_ASK ? &entry->unit
						       : &entry->wait_ms);
}

/* Encodes or decodes, depending on the XDR stream, so that both directions use
 * the same format. */
static bool convert_message(XDR *xdr, allowance_message_t *message)
{
	uint32_t magic = ALLOWANCE_MAGIC;
	uint32_t kind = message->kind;

	if (!xdr_uint32_t(xdr, &magic) || magic != ALLOWANCE_MAGIC ||
	    !xdr_uint32_t(xdr, &kind) || kind < ALLOWANCE_ASK ||
	    kind > ALLOWANCE_PARTS ||
	    !xdr_uint64_t(xdr, &message->incarnation) ||
	    !xdr_uint64_t(xdr, &message->receiver) ||
	    !xdr_uint32_t(xdr, &message->sequence) ||
	    !xdr_uint32_t(xdr, &message->answered) ||
	    !xdr_uint32_t(xdr, &message->clock_ms) ||
	    !xdr_uint32_t(xdr, &message->count) ||
	    message->count > ALLOWANCE_ENTRIES_MAX)
		return false;
	message->kind = (allowance_kind_t)kind;
	for (uint32_t i = 0; i < message->count; i++) {
		if (!convert_entry(xdr, message->kind, &message->entries[i]))
			return false;
	}
	return true;
}

int allowance_message_encode(const allowance_message_t *message, char *bytes,
			     size_t size)
{
	allowance_message_t copy = *message;
	XDR xdr;
	int len;

	xdrmem_create(&xdr, bytes, (u_int)size, XDR_ENCODE);
	len = convert_message(&xdr, &copy) ? (int)xdr_getpos(&xdr) : ERR_LIMIT;
	xdr_destroy(&xdr);
	return len;
}

int allowance_message_decode(allowance_message_t *message, char *bytes,
			     size_t len)
{
	XDR xdr;
	bool ok;

	memset(message, 0, sizeof(*message));
	xdrmem_create(&xdr, bytes, (u_int)len, XDR_DECODE);
	ok = convert_message(&xdr, message) && message->incarnation;
	xdr_destroy(&xdr);
	return ok ? 0 : ERR_BAD_FIELD;
}
