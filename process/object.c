#include "process/object.h"

#include <stdlib.h>

static const char *const kind_names[OBJECT_KIND_COUNT] = {
	[OBJECT_DESIRED] = "desired", [OBJECT_ENDPOINTS] = "endpoints",
	[OBJECT_WEIGHTS] = "weights", [OBJECT_MEMBERS] = "members",
	[OBJECT_LEASES] = "leases",   [OBJECT_CRASHES] = "crashes",
	[OBJECT_STREAMS] = "streams",
};

const char *object_kind_name(object_kind_t kind)
{
	return kind_names[kind];
}

void object_page_free(object_page_t *page)
{
	json_decref(page->root);
	free(page->items);
	page->root = NULL;
	page->items = NULL;
	page->count = 0;
}
