#include "version/ticket_lookup.h"

#include "process/error.h"

static uint64_t get_uint64(const json_t *object, const char *name)
{
	return (uint64_t)json_integer_value(json_object_get(object, name));
}

uint64_t ticket_lookup_in_entries(const json_t *entries, const char *member,
				  uint64_t number)
{
	const json_t *entry;
	size_t i;

	json_array_foreach (entries, i, entry) {
		const json_t *holder =
			member ? json_object_get(entry, member) : entry;

		if (get_uint64(holder, "ticket") == number)
			return get_uint64(entry, "position");
	}
	return 0;
}

int ticket_lookup_in_store(store_client_t *client, uint64_t number,
			   uint64_t *position)
{
	CLEANUP_STORE_OBJECT store_object_t head = { 0 };
	int err = store_client_get(client, STORE_PURPOSE_STATUS, "config/head",
				   &head);

	if (err)
		return err;
	*position = ticket_lookup_in_entries(json_object_get(head.value, "log"),
					     NULL, number);
	return *position ? 0 : ERR_NOT_FOUND;
}
