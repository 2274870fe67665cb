#include "version/config_sweep.h"

#include <string.h>

#include "version/ticket_commit.h"

enum {
	/** Twice the pages that one compaction drops, so that pages left over
	 * from earlier compactions are deleted too. */
	SWEEP_PAGES_MAX = 32,
};

static void sweep_snapshot(store_client_t *client, uint64_t position,
			   uint32_t shards)
{
	for (uint32_t i = 0; i < shards; i++) {
		CLEANUP_STORE_OBJECT store_object_t object = { 0 };
		char key[TICKET_KEY_MAX_BYTES];

		ticket_shard_key(position, i, key);
		/* A delete is conditional on the version of the object. */
		if (store_client_get(client, STORE_PURPOSE_STATUS, key,
				     &object))
			continue;
		store_client_delete(client, STORE_PURPOSE_STATUS, key,
				    object.version);
	}
}

static void sweep_log(store_client_t *client, const ticket_head_t *head)
{
	CLEANUP_STORE_ITEMS store_items_t items = { 0 };
	char first[TICKET_KEY_MAX_BYTES];

	ticket_page_key(ticket_head_page_number(head, head->log_position + 1),
			first);
	if (store_client_list(client, STORE_PURPOSE_STATUS, TICKET_PAGE_PREFIX,
			      NULL, SWEEP_PAGES_MAX, &items))
		return;
	for (size_t i = 0; i < items.count; i++) {
		if (strcmp(items.items[i].key, first) < 0)
			store_client_delete(client, STORE_PURPOSE_STATUS,
					    items.items[i].key,
					    items.items[i].version);
	}
}

void config_sweep(store_client_t *client, const ticket_head_t *old_head,
		  const ticket_head_t *head)
{
	sweep_snapshot(client, old_head->snapshot_position,
		       old_head->snapshot_shards);
	sweep_log(client, head);
}
