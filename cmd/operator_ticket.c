#include "cmd/operator_ticket.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "process/cleanup.h"

enum {
	EXIT_USAGE = 2,
	TICKET_PATH_MAX_BYTES = 64,
};

/** Reads a ticket; "-" is standard input. */
static json_t *read_ticket(const char *path)
{
	json_error_t problem;
	json_t *ticket;

	if (!path) {
		fprintf(stderr, "give the file with the ticket, or -\n");
		return NULL;
	}
	if (!strcmp(path, "-"))
		ticket = json_loadf(stdin, JSON_REJECT_DUPLICATES, &problem);
	else
		ticket = json_load_file(path, JSON_REJECT_DUPLICATES, &problem);
	if (!ticket)
		fprintf(stderr, "%s: line %d, column %d: %s\n", path,
			problem.line, problem.column, problem.text);
	return ticket;
}

int operator_ticket_apply(const operator_client_t *client, const char **args)
{
	CLEANUP_JSON json_t *ticket = read_ticket(args[0]);
	CLEANUP_JSON json_t *answer = NULL;
	CLEANUP_FREE char *body = NULL;

	if (!ticket)
		return EXIT_USAGE;
	body = json_dumps(ticket, JSON_COMPACT);
	if (!body || operator_call(client, "/admin/tickets", body, &answer))
		return EXIT_FAILURE;
	printf("ticket %lld accepted at position %lld\n",
	       json_integer_value(json_object_get(ticket, "ticket")),
	       json_integer_value(json_object_get(answer, "position")));
	return EXIT_SUCCESS;
}

/** Prints a member. @return whether it has reached the position */
static bool print_member(json_t *member, json_int_t position)
{
	json_int_t has =
		json_integer_value(json_object_get(member, "position"));
	bool in_force = has >= position;

	printf("%-24s %-8s %8lld  %s\n",
	       json_string_value(json_object_get(member, "instance")),
	       json_string_value(json_object_get(member, "state")), has,
	       in_force ? "in force" : "not yet");
	return in_force;
}

int operator_ticket_status(const operator_client_t *client, const char **args)
{
	CLEANUP_JSON json_t *answer = NULL;
	char path[TICKET_PATH_MAX_BYTES];
	json_int_t position;
	size_t in_force = 0;
	json_t *members;
	json_t *member;
	size_t i;

	if (!args[0] || strspn(args[0], "0123456789") != strlen(args[0]) ||
	    strlen(args[0]) > 20) {
		fprintf(stderr, "give the number of the ticket\n");
		return EXIT_USAGE;
	}
	snprintf(path, sizeof(path), "/admin/tickets/%s", args[0]);
	if (operator_call(client, path, NULL, &answer))
		return EXIT_FAILURE;
	position = json_integer_value(json_object_get(answer, "position"));
	members = json_object_get(answer, "members");
	printf("ticket %s is at position %lld\n", args[0], position);
	json_array_foreach (members, i, member)
		in_force += print_member(member, position);
	printf("in force on %zu of %zu instances\n", in_force,
	       json_array_size(members));
	return in_force == json_array_size(members) ? EXIT_SUCCESS
						    : EXIT_FAILURE;
}

static void print_value(char sign, const char *key, const char *field,
			json_t *value)
{
	CLEANUP_FREE char *text =
		value ? json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT |
						  JSON_SORT_KEYS)
		      : NULL;

	if (text)
		printf("%c %s %s = %s\n", sign, key, field, text);
}

static size_t diff_field(const char *key, const char *field, json_t *before,
			 json_t *after)
{
	if (before && after && json_equal(before, after))
		return 0;
	print_value('-', key, field, before);
	print_value('+', key, field, after);
	return 1;
}

/** Prints the fields that differ. @return their number */
static size_t diff_object(const char *key, json_t *before, json_t *after)
{
	const char *field;
	json_t *value;
	size_t changes = 0;

	json_object_foreach (before, field, value)
		changes += diff_field(key, field, value,
				      json_object_get(after, field));
	json_object_foreach (after, field, value) {
		if (!json_object_get(before, field))
			changes += diff_field(key, field, NULL, value);
	}
	return changes;
}

int operator_ticket_diff(const operator_client_t *client, const char **args)
{
	CLEANUP_JSON json_t *ticket = read_ticket(args[0]);
	CLEANUP_JSON json_t *answer = NULL;
	json_t *current;
	const char *key;
	json_t *state;
	size_t changes = 0;

	if (!ticket)
		return EXIT_USAGE;
	if (operator_call(client, "/admin/objects", NULL, &answer))
		return EXIT_FAILURE;
	current = json_object_get(answer, "objects");
	json_object_foreach (json_object_get(ticket, "objects"), key, state)
		changes +=
			diff_object(key, json_object_get(current, key), state);
	printf("%zu fields differ from position %lld\n", changes,
	       json_integer_value(json_object_get(answer, "position")));
	return EXIT_SUCCESS;
}
