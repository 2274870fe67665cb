#include "version/config_find.h"

#include "process/error.h"

static uint64_t number_of(const json_t *object, const char *name)
{
	return (uint64_t)json_integer_value(json_object_get(object, name));
}

uint64_t config_find_in_rows(const json_t *rows, const char *member,
			     uint64_t number)
{
	const json_t *row;
	size_t i;

	json_array_foreach (rows, i, row) {
		const json_t *holder =
			member ? json_object_get(row, member) : row;

		if (number_of(holder, "ticket") == number)
			return number_of(row, "position");
	}
	return 0;
}

int config_find_in_store(store_client_t *client, uint64_t number,
			 uint64_t *position)
{
	CLEANUP_STORE_OBJECT store_object_t head = { 0 };
	int err = store_client_get(client, STORE_PURPOSE_STATUS, "config/head",
				   &head);

	if (err)
		return err;
	*position = config_find_in_rows(json_object_get(head.value, "log"),
					NULL, number);
	return *position ? 0 : ERR_NOT_FOUND;
}
