#include "version/config_sweep.h"

#include "version/ticket_commit.h"

void config_sweep_snapshot(store_client_t *client, uint64_t position,
			   uint32_t shards)
{
	for (uint32_t i = 0; i < shards; i++) {
		CLEANUP_STORE_OBJECT store_object_t object = { 0 };
		char key[TICKET_KEY_MAX_BYTES];

		ticket_shard_key(position, i, key);
		/* The version is needed for the condition. */
		if (store_client_get(client, STORE_PURPOSE_STATUS, key,
				     &object))
			continue;
		store_client_delete(client, STORE_PURPOSE_STATUS, key,
				    object.version);
	}
}
