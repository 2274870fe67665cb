#include "version/config.h"

#include <arpa/inet.h>
#include <glib.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "process/error.h"

enum {
	/** Most objects of one kind; bounds indices and counts. */
	OBJECTS_MAX = 65536,
	URGENCY_RULES_MAX = 256,
	METHODS_MAX = 16,
};

typedef enum field_type {
	FIELD_TEXT,	 /**< `char[size]`, at least `min` bytes. */
	FIELD_ADDRESS,	 /**< `char[size]`, an IP address. */
	FIELD_DIGEST,	 /**< `char[size]`, 64 lower-case hex digits. */
	FIELD_TIME_ZONE, /**< `char[size]`, an IANA time zone. */
	FIELD_NUMBER,	 /**< `uint32_t`. */
	FIELD_PORT,	 /**< `uint16_t`. */
	FIELD_HOUR,	 /**< `uint8_t`. */
	FIELD_BOOL,	 /**< `bool`. */
	FIELD_ENUM,	 /**< `int` sized enum, index into `choices`. */
	FIELD_REFERENCE, /**< `int32_t` index of an object of a kind. */
	FIELD_CUSTOM,	 /**< Parsed by the kind's own function. */
} field_type_t;

/** Describes one JSON field of an object kind. */
typedef struct field {
	const char *name;
	field_type_t type;
	size_t offset;
	size_t size;
	bool required;
	uint32_t default_value;
	uint32_t min;
	uint32_t max;
	/** Names of the enum values; for FIELD_REFERENCE the object kind. */
	const char *const *choices;
} field_t;

/** State of one config_build() call. */
typedef struct builder {
	config_t *config;
	config_problem_t *problem;
	const char *object; /**< Key of the object being parsed. */
} builder_t;

static const char *const endpoint_kinds[] = { "engine", "plain", NULL };
static const char *const urgency_names[] = { "urgent", "normal", "deferrable",
					     NULL };
static const char *const reference_to_pool[] = { "pool", NULL };
static const char *const reference_to_urgency[] = { "urgency", NULL };

#define FIELD(type_name, member, field_type)                         \
	.type = (field_type), .offset = offsetof(type_name, member), \
	.size = sizeof(((type_name *)0)->member)

static const field_t customer_fields[] = {
	{ "key_sha256", FIELD(config_customer_t, key_digest, FIELD_DIGEST),
	  .required = true },
	{ "salt", FIELD(config_customer_t, salt, FIELD_TEXT), .required = true,
	  .min = 1 },
	{ "weight", FIELD(config_customer_t, weight, FIELD_NUMBER),
	  .default_value = 1, .min = 1, .max = 10000 },
	{ "rate_per_s", FIELD(config_customer_t, rate_per_s, FIELD_NUMBER),
	  .max = 1000000 },
	{ "concurrency_max",
	  FIELD(config_customer_t, concurrency_max, FIELD_NUMBER),
	  .max = 1000000 },
	{ "urgency", FIELD(config_customer_t, urgency, FIELD_REFERENCE),
	  .choices = reference_to_urgency },
	{ "pools", .type = FIELD_CUSTOM },
	{ NULL },
};

static const field_t endpoint_fields[] = {
	{ "kind", FIELD(config_endpoint_t, kind, FIELD_ENUM), .required = true,
	  .choices = endpoint_kinds },
	{ "address", FIELD(config_endpoint_t, address, FIELD_ADDRESS),
	  .required = true },
	{ "port", FIELD(config_endpoint_t, port, FIELD_PORT), .required = true,
	  .min = 1, .max = 65535 },
	{ "domain", FIELD(config_endpoint_t, domain, FIELD_TEXT),
	  .required = true, .min = 1 },
	{ "pool", FIELD(config_endpoint_t, pool, FIELD_REFERENCE),
	  .required = true, .choices = reference_to_pool },
	{ "checks_fencing",
	  FIELD(config_endpoint_t, checks_fencing, FIELD_BOOL) },
	{ "leaving", FIELD(config_endpoint_t, leaving, FIELD_BOOL) },
	{ "tls", FIELD(config_endpoint_t, tls, FIELD_BOOL) },
	{ NULL },
};

static const field_t pool_fields[] = {
	{ "model", FIELD(config_pool_t, model, FIELD_TEXT) },
	{ "adapter", FIELD(config_pool_t, adapter, FIELD_TEXT) },
	{ "weights_version",
	  FIELD(config_pool_t, weights_version, FIELD_TEXT) },
	{ "role", FIELD(config_pool_t, role, FIELD_TEXT) },
	{ "weight_store", FIELD(config_pool_t, weight_store, FIELD_TEXT) },
	{ "ready_min", FIELD(config_pool_t, ready_min, FIELD_NUMBER),
	  .max = OBJECTS_MAX },
	{ NULL },
};

static const field_t model_fields[] = {
	{ "block_tokens", FIELD(config_model_t, block_tokens, FIELD_NUMBER),
	  .default_value = 2000, .min = 1, .max = 1000000 },
	{ "token_bytes", FIELD(config_model_t, token_bytes, FIELD_NUMBER),
	  .default_value = 4, .min = 1, .max = 64 },
	{ "prompt_tokens_max",
	  FIELD(config_model_t, prompt_tokens_max, FIELD_NUMBER),
	  .default_value = 1000000, .min = 1, .max = 100000000 },
	{ "prefill_tokens_per_s",
	  FIELD(config_model_t, prefill_tokens_per_s, FIELD_NUMBER),
	  .default_value = 10000, .min = 1, .max = 100000000 },
	{ NULL },
};

static const field_t route_fields[] = {
	{ "pool", FIELD(config_route_t, pool, FIELD_REFERENCE),
	  .required = true, .choices = reference_to_pool },
	{ "idempotent_methods", .type = FIELD_CUSTOM },
	{ "timeout_ms", FIELD(config_route_t, timeout_ms, FIELD_NUMBER),
	  .default_value = 10000, .min = 1, .max = 3600000 },
	{ NULL },
};

static const field_t rule_fields[] = {
	{ "kind", FIELD(config_urgency_rule_t, kind, FIELD_TEXT) },
	{ "from_hour", FIELD(config_urgency_rule_t, from_hour, FIELD_HOUR),
	  .max = CONFIG_HOURS_PER_DAY - 1 },
	{ "to_hour", FIELD(config_urgency_rule_t, to_hour, FIELD_HOUR),
	  .default_value = CONFIG_HOURS_PER_DAY, .max = CONFIG_HOURS_PER_DAY },
	{ "class", FIELD(config_urgency_rule_t, urgency, FIELD_ENUM),
	  .required = true, .choices = urgency_names },
	{ NULL },
};

static const field_t urgency_fields[] = {
	{ "time_zone", FIELD(config_urgency_t, time_zone, FIELD_TIME_ZONE),
	  .required = true },
	{ "fallback", FIELD(config_urgency_t, fallback, FIELD_ENUM),
	  .default_value = URGENCY_NORMAL, .choices = urgency_names },
	{ "rules", .type = FIELD_CUSTOM },
	{ NULL },
};

static const field_t limits_fields[] = {
	{ "body_max_bytes",
	  FIELD(config_limits_t, body_max_bytes, FIELD_NUMBER),
	  .default_value = 8 << 20, .min = 1024, .max = 256 << 20 },
	{ "queue_max", FIELD(config_limits_t, queue_max, FIELD_NUMBER),
	  .default_value = 1024, .min = 1, .max = 100000 },
	{ "retry_budget_percent",
	  FIELD(config_limits_t, retry_budget_percent, FIELD_NUMBER),
	  .default_value = 20, .max = 100 },
	{ "attempts_max", FIELD(config_limits_t, attempts_max, FIELD_NUMBER),
	  .default_value = 3, .min = 1, .max = 16 },
	{ "endpoint_streams_max",
	  FIELD(config_limits_t, endpoint_streams_max, FIELD_NUMBER),
	  .default_value = 32, .min = 1, .max = 10000 },
	{ "quarantine_ms", FIELD(config_limits_t, quarantine_ms, FIELD_NUMBER),
	  .default_value = 600000, .min = 1000, .max = 86400000 },
	{ "default_deadline_ms",
	  FIELD(config_limits_t, default_deadline_ms, FIELD_NUMBER),
	  .default_value = 120000, .min = 100, .max = 3600000 },
	{ NULL },
};

__attribute__((format(printf, 3, 4))) static int
reject(const builder_t *builder, const char *field, const char *fmt, ...)
{
	config_problem_t *problem = builder->problem;
	va_list args;

	snprintf(problem->object, sizeof(problem->object), "%s",
		 builder->object);
	snprintf(problem->field, sizeof(problem->field), "%s", field);
	va_start(args, fmt);
	vsnprintf(problem->text, sizeof(problem->text), fmt, args);
	va_end(args);
	return ERR_TICKET_INVALID;
}

static bool is_id(const char *text)
{
	size_t len = strlen(text);

	/* A leading dot would allow the id "..", which is removed when HTTP
	 * paths are normalized. */
	return len && len < CONFIG_ID_MAX_BYTES && text[0] != '.' &&
	       strspn(text, "abcdefghijklmnopqrstuvwxyz"
			    "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-") == len;
}

static int compare_ids(const void *a, const void *b)
{
	/* Every object struct starts with its id. */
	return strcmp(a, b);
}

static int32_t find_reference(const config_t *config, const char *kind,
			      const char *id)
{
	if (!strcmp(kind, "pool"))
		return config_find_pool(config, id);
	return config_find_urgency(config, id);
}

static bool is_address(const char *text)
{
	unsigned char buffer[sizeof(struct in6_addr)];

	return inet_pton(AF_INET, text, buffer) == 1 ||
	       inet_pton(AF_INET6, text, buffer) == 1;
}

static bool is_digest(const char *text)
{
	return strlen(text) == HASH_DIGEST_HEX_BYTES - 1 &&
	       strspn(text, "0123456789abcdef") == HASH_DIGEST_HEX_BYTES - 1;
}

static bool is_time_zone(const char *text)
{
	GTimeZone *zone = g_time_zone_new_identifier(text);

	if (!zone)
		return false;
	g_time_zone_unref(zone);
	return true;
}

/** Text without control characters or embedded NUL. */
static bool is_plain_text(const json_t *value)
{
	const char *text = json_string_value(value);
	size_t len = json_string_length(value);

	for (size_t i = 0; i < len; i++) {
		if ((unsigned char)text[i] < 0x20 || text[i] == 0x7f)
			return false;
	}
	return true;
}

static int parse_text(const builder_t *builder, const field_t *field,
		      const json_t *value, void *target)
{
	const char *text = json_string_value(value);

	if (!text || !is_plain_text(value) || strlen(text) < field->min ||
	    strlen(text) >= field->size)
		return reject(builder, field->name,
			      "must be a string of %" PRIu32 " to %zu bytes",
			      field->min, field->size - 1);
	if (field->type == FIELD_ADDRESS && !is_address(text))
		return reject(builder, field->name,
			      "must be an IPv4 or IPv6 address");
	if (field->type == FIELD_DIGEST && !is_digest(text))
		return reject(builder, field->name,
			      "must be a SHA-256 as 64 lower-case hex digits");
	if (field->type == FIELD_TIME_ZONE && !is_time_zone(text))
		return reject(builder, field->name,
			      "must be an IANA time zone, such as UTC");
	memcpy(target, text, strlen(text) + 1);
	return 0;
}

static void store_number(const field_t *field, void *target, uint32_t number)
{
	switch (field->size) {
	case sizeof(uint8_t):
		*(uint8_t *)target = (uint8_t)number;
		break;
	case sizeof(uint16_t):
		*(uint16_t *)target = (uint16_t)number;
		break;
	default:
		memcpy(target, &number, sizeof(number));
		break;
	}
}

static int parse_number(const builder_t *builder, const field_t *field,
			const json_t *value, void *target)
{
	json_int_t number = json_integer_value(value);

	if (!json_is_integer(value) || number < field->min ||
	    number > field->max)
		return reject(builder, field->name,
			      "must be an integer from %" PRIu32 " to %" PRIu32,
			      field->min, field->max);
	store_number(field, target, (uint32_t)number);
	return 0;
}

static int parse_enum(const builder_t *builder, const field_t *field,
		      const json_t *value, void *target)
{
	const char *text = json_string_value(value);
	char accepted[96] = "";

	for (uint32_t i = 0; field->choices[i]; i++) {
		if (text && !strcmp(text, field->choices[i])) {
			store_number(field, target, i);
			return 0;
		}
		strncat(accepted, " ", sizeof(accepted) - strlen(accepted) - 1);
		strncat(accepted, field->choices[i],
			sizeof(accepted) - strlen(accepted) - 1);
	}
	return reject(builder, field->name, "must be one of:%s", accepted);
}

static int parse_reference(const builder_t *builder, const field_t *field,
			   const json_t *value, int32_t *target)
{
	const char *kind = field->choices[0];
	const char *id = json_string_value(value);

	if (!id)
		return reject(builder, field->name, "must be the id of a %s",
			      kind);
	*target = find_reference(builder->config, kind, id);
	if (*target == CONFIG_NONE)
		return reject(builder, field->name,
			      "%s/%.64s does not exist; must be the id of a %s",
			      kind, id, kind);
	return 0;
}

static int parse_field(const builder_t *builder, const field_t *field,
		       const json_t *value, void *target)
{
	switch (field->type) {
	case FIELD_TEXT:
	case FIELD_ADDRESS:
	case FIELD_DIGEST:
	case FIELD_TIME_ZONE:
		return parse_text(builder, field, value, target);
	case FIELD_NUMBER:
	case FIELD_PORT:
	case FIELD_HOUR:
		return parse_number(builder, field, value, target);
	case FIELD_BOOL:
		if (!json_is_boolean(value))
			return reject(builder, field->name,
				      "must be true or false");
		*(bool *)target = json_is_true(value);
		return 0;
	case FIELD_ENUM:
		return parse_enum(builder, field, value, target);
	case FIELD_REFERENCE:
		return parse_reference(builder, field, value, target);
	case FIELD_CUSTOM:
		return 0;
	}
	return ERR_INTERNAL;
}

static void set_default(const field_t *field, void *target)
{
	switch (field->type) {
	case FIELD_NUMBER:
	case FIELD_PORT:
	case FIELD_HOUR:
	case FIELD_ENUM:
		store_number(field, target, field->default_value);
		break;
	case FIELD_REFERENCE:
		*(int32_t *)target = CONFIG_NONE;
		break;
	default:
		/* The object was allocated zeroed. */
		break;
	}
}

static bool has_field(const field_t *fields, const char *name)
{
	for (; fields->name; fields++) {
		if (!strcmp(fields->name, name))
			return true;
	}
	return false;
}

static int parse_fields(const builder_t *builder, const field_t *fields,
			json_t *object, void *target)
{
	const char *name;
	json_t *value;

	if (!json_is_object(object))
		return reject(builder, "", "must be a JSON object");
	json_object_foreach (object, name, value) {
		if (!has_field(fields, name))
			return reject(builder, name,
				      "unknown field; see "
				      "docs/configuration.md");
	}
	for (; fields->name; fields++) {
		void *member = (char *)target + fields->offset;
		int err = 0;

		value = json_object_get(object, fields->name);
		if (value)
			err = parse_field(builder, fields, value, member);
		else if (fields->required)
			err = reject(builder, fields->name,
				     "field is required");
		else
			set_default(fields, member);
		if (err)
			return err;
	}
	return 0;
}

/** Gets the array in a field; NULL if the field is absent. */
static int get_array(const builder_t *builder, const json_t *object,
		     const char *field, size_t max, json_t **array)
{
	*array = json_object_get(object, field);
	if (*array && (!json_is_array(*array) || json_array_size(*array) > max))
		return reject(builder, field,
			      "must be an array of at most %zu items", max);
	return 0;
}

static int check_key_is_unique(const builder_t *builder,
			       const config_customer_t *customer)
{
	const config_customer_t *other = builder->config->customers;

	for (; other < customer; other++) {
		if (!strcmp(other->key_digest, customer->key_digest))
			return reject(builder, "key_sha256",
				      "customer/%s has the same key; must be "
				      "unique",
				      other->id);
	}
	return 0;
}

static int parse_customer(const builder_t *builder, json_t *object,
			  void *target)
{
	static const field_t item = { "pools", FIELD_REFERENCE,
				      .choices = reference_to_pool };
	config_customer_t *customer = target;
	json_t *array;
	size_t count;
	int err = parse_fields(builder, customer_fields, object, customer);

	if (!err)
		err = get_array(builder, object, "pools", OBJECTS_MAX, &array);
	if (!err)
		err = check_key_is_unique(builder, customer);
	count = err ? 0 : json_array_size(array);
	if (err || !count)
		return err;
	customer->pools = calloc(count, sizeof(*customer->pools));
	if (!customer->pools)
		return ERR_NO_MEMORY;
	customer->pool_count = count;
	for (size_t i = 0; i < count && !err; i++)
		err = parse_reference(builder, &item, json_array_get(array, i),
				      &customer->pools[i]);
	return err;
}

static int parse_model(const builder_t *builder, json_t *object, void *target)
{
	return parse_fields(builder, model_fields, object, target);
}

static int parse_pool(const builder_t *builder, json_t *object, void *target)
{
	config_pool_t *pool = target;
	int err = parse_fields(builder, pool_fields, object, pool);

	if (err || !*pool->model)
		return err;
	if (config_find_model(builder->config, pool->model) == CONFIG_NONE)
		return reject(builder, "model",
			      "model/%s does not exist; must be the id of a "
			      "model",
			      pool->model);
	return 0;
}

static int parse_endpoint(const builder_t *builder, json_t *object,
			  void *target)
{
	config_endpoint_t *endpoint = target;
	const config_pool_t *pool;
	int err = parse_fields(builder, endpoint_fields, object, endpoint);

	if (err)
		return err;
	pool = &builder->config->pools[endpoint->pool];
	if ((endpoint->kind == ENDPOINT_ENGINE) != (*pool->model != '\0'))
		return reject(builder, "pool",
			      "pool/%s has the wrong kind: engines need a "
			      "pool with a model, plain services one without",
			      pool->id);
	endpoint->id_hash = hash_string(endpoint->id);
	return 0;
}

static bool is_method(const char *text)
{
	size_t len = strlen(text);

	return len && len <= 16 &&
	       strspn(text, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") == len;
}

static int parse_route(const builder_t *builder, json_t *object, void *target)
{
	config_route_t *route = target;
	char *methods = route->idempotent_methods;
	json_t *array = NULL;
	json_t *value;
	size_t i;
	int err = parse_fields(builder, route_fields, object, route);

	if (!err && *builder->config->pools[route->pool].model)
		return reject(builder, "pool",
			      "pool/%s serves a model; must be a pool of plain "
			      "services",
			      builder->config->pools[route->pool].id);
	if (!err)
		err = get_array(builder, object, "idempotent_methods",
				METHODS_MAX, &array);
	if (err)
		return err;
	if (!array)
		snprintf(methods, sizeof(route->idempotent_methods),
			 "GET,HEAD,OPTIONS");
	json_array_foreach (array, i, value) {
		const char *method = json_string_value(value);
		size_t used = strlen(methods);

		if (!method || !is_method(method) ||
		    used + strlen(method) + 2 >
			    sizeof(route->idempotent_methods))
			return reject(builder, "idempotent_methods",
				      "must be method names in capitals, at "
				      "most %zu bytes in total",
				      sizeof(route->idempotent_methods) - 1);
		snprintf(methods + used,
			 sizeof(route->idempotent_methods) - used, "%s%s",
			 used ? "," : "", method);
	}
	return 0;
}

static int parse_urgency(const builder_t *builder, json_t *object, void *target)
{
	config_urgency_t *urgency = target;
	json_t *array;
	size_t count;
	int err = parse_fields(builder, urgency_fields, object, urgency);

	if (!err)
		err = get_array(builder, object, "rules", URGENCY_RULES_MAX,
				&array);
	if (err)
		return err;
	urgency->zone = g_time_zone_new_identifier(urgency->time_zone);
	count = json_array_size(array);
	if (!count)
		return 0;
	urgency->rules = calloc(count, sizeof(*urgency->rules));
	if (!urgency->rules)
		return ERR_NO_MEMORY;
	urgency->rule_count = count;
	for (size_t i = 0; i < count && !err; i++)
		err = parse_fields(builder, rule_fields,
				   json_array_get(array, i),
				   &urgency->rules[i]);
	return err;
}

static int parse_limits(const builder_t *builder, json_t *object, void *target)
{
	return parse_fields(builder, limits_fields, object, target);
}

/** An object kind, and where config_t has the array of its objects. */
typedef struct kind {
	const char *name;
	size_t size;
	size_t array_offset; /**< Offset of the array pointer in config_t. */
	size_t count_offset; /**< Offset of the object count in config_t. */
	int (*parse)(const builder_t *builder, json_t *object, void *target);
} kind_t;

#define KIND(name, type, array, count, parse)                  \
	{                                                      \
		name, sizeof(type), offsetof(config_t, array), \
			offsetof(config_t, count), parse       \
	}

/** Parsed in this order, so that references find their objects. */
static const kind_t kinds[] = {
	KIND("model", config_model_t, models, model_count, parse_model),
	KIND("urgency", config_urgency_t, urgencies, urgency_count,
	     parse_urgency),
	KIND("pool", config_pool_t, pools, pool_count, parse_pool),
	KIND("route", config_route_t, routes, route_count, parse_route),
	KIND("customer", config_customer_t, customers, customer_count,
	     parse_customer),
	KIND("endpoint", config_endpoint_t, endpoints, endpoint_count,
	     parse_endpoint),
};

#define KIND_COUNT (sizeof(kinds) / sizeof(kinds[0]))

static void **array_of(config_t *config, const kind_t *kind)
{
	return (void **)((char *)config + kind->array_offset);
}

static size_t *count_of(config_t *config, const kind_t *kind)
{
	return (size_t *)((char *)config + kind->count_offset);
}

/** Finds the kind by the key's part before the slash; NULL if unknown. */
static const kind_t *find_kind(const char *key)
{
	for (size_t i = 0; i < KIND_COUNT; i++) {
		size_t len = strlen(kinds[i].name);

		if (!strncmp(key, kinds[i].name, len) && key[len] == '/')
			return &kinds[i];
	}
	return NULL;
}

static int count_objects(builder_t *builder, json_t *objects)
{
	json_t *value;

	json_object_foreach (objects, builder->object, value) {
		const kind_t *kind = find_kind(builder->object);
		size_t *count;

		if (!strcmp(builder->object, "limits/global"))
			continue;
		if (!kind)
			return reject(
				builder, "",
				"key must be customer/, endpoint/, pool/, "
				"model/, route/ or urgency/ and an id, "
				"or limits/global");
		if (!is_id(builder->object + strlen(kind->name) + 1))
			return reject(builder, "",
				      "id must be 1 to %d letters, digits or "
				      ". _ -, and not start with a dot",
				      CONFIG_ID_MAX_BYTES - 1);
		count = count_of(builder->config, kind);
		if (++*count > OBJECTS_MAX)
			return reject(builder, "",
				      "more than %d objects of this kind",
				      OBJECTS_MAX);
	}
	return 0;
}

static int build_kind(builder_t *builder, json_t *objects, const kind_t *kind)
{
	size_t count = *count_of(builder->config, kind);
	char *array = count ? calloc(count, kind->size) : NULL;
	const char *key;
	json_t *value;
	size_t used = 0;
	int err = 0;

	if (count && !array)
		return ERR_NO_MEMORY;
	*array_of(builder->config, kind) = array;
	json_object_foreach (objects, key, value) {
		if (find_kind(key) == kind)
			snprintf(array + kind->size * used++,
				 CONFIG_ID_MAX_BYTES, "%s",
				 key + strlen(kind->name) + 1);
	}
	if (count)
		qsort(array, count, kind->size, compare_ids);
	for (size_t i = 0; i < count && !err; i++) {
		char *object = array + kind->size * i;
		char name[2 * CONFIG_ID_MAX_BYTES];

		snprintf(name, sizeof(name), "%s/%s", kind->name, object);
		builder->object = name;
		err = kind->parse(builder, json_object_get(objects, name),
				  object);
		builder->object = NULL;
	}
	return err;
}

/** Fills in the endpoints of each pool; `endpoints` is sorted already. */
static int link_pools(config_t *config)
{
	for (size_t i = 0; i < config->endpoint_count; i++)
		config->pools[config->endpoints[i].pool].endpoint_count++;
	for (size_t i = 0; i < config->pool_count; i++) {
		config_pool_t *pool = &config->pools[i];

		pool->endpoints = calloc(pool->endpoint_count + 1,
					 sizeof(*pool->endpoints));
		if (!pool->endpoints)
			return ERR_NO_MEMORY;
		pool->endpoint_count = 0;
	}
	for (size_t i = 0; i < config->endpoint_count; i++) {
		config_pool_t *pool = &config->pools[config->endpoints[i].pool];

		pool->endpoints[pool->endpoint_count++] = (int32_t)i;
	}
	return 0;
}

static int build_limits(builder_t *builder, json_t *objects)
{
	json_t *object = json_object_get(objects, "limits/global");
	json_t *empty = object ? NULL : json_object();
	int err;

	builder->object = "limits/global";
	err = parse_limits(builder, object ? object : empty,
			   &builder->config->limits);
	json_decref(empty);
	return err;
}

int config_build(uint64_t position, json_t *objects, config_t **config,
		 config_problem_t *problem)
{
	builder_t builder = { .problem = problem, .object = "" };
	int err;

	*config = NULL;
	if (!json_is_object(objects))
		return reject(&builder, "", "must be a JSON object of objects");
	builder.config = calloc(1, sizeof(*builder.config));
	if (!builder.config)
		return ERR_NO_MEMORY;
	builder.config->position = position;
	builder.config->refcount = 1;
	builder.config->objects = json_incref(objects);
	err = count_objects(&builder, objects);
	for (size_t i = 0; i < KIND_COUNT && !err; i++)
		err = build_kind(&builder, objects, &kinds[i]);
	if (!err)
		err = build_limits(&builder, objects);
	if (!err)
		err = link_pools(builder.config);
	if (err) {
		config_release(builder.config);
		return err;
	}
	*config = builder.config;
	return 0;
}
