#include "process/object.h"

#include <stdlib.h>
#include <string.h>

#include "process/error.h"

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

int object_page_next(const object_page_t *page, const char *after, char **next)
{
	*next = NULL;
	if (!page->more)
		return 0;
	if (!page->last_name || (after && !strcmp(page->last_name, after)))
		return ERR_BAD_JSON;
	*next = strdup(page->last_name);
	return *next ? 0 : ERR_NO_MEMORY;
}

void object_page_free(object_page_t *page)
{
	json_decref(page->root);
	free(page->items);
	page->root = NULL;
	page->items = NULL;
	page->count = 0;
}
