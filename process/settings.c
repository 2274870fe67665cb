#include "process/settings.h"

#include <ctype.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/error.h"

enum {
	/** Most rows in a program's table. */
	SETTINGS_MAX = 96,
	ENV_NAME_MAX_BYTES = 64,
	/** popt return values; rows use FIRST_ROW + index. */
	OPTION_VERSION = 1,
	OPTION_CHECK = 2,
	FIRST_ROW = 16,
};

/** The texts given for each row, before they are converted. */
typedef struct given {
	char *texts[SETTINGS_MAX];
	bool switched_on[SETTINGS_MAX];
	bool check_only;
	bool print_version;
} given_t;

static void free_given(given_t *given)
{
	for (size_t i = 0; i < SETTINGS_MAX; i++)
		free(given->texts[i]);
}

static void env_name(const char *flag, char name[ENV_NAME_MAX_BYTES])
{
	size_t used = (size_t)snprintf(name, ENV_NAME_MAX_BYTES, "AMV_");

	for (; *flag && used + 1 < ENV_NAME_MAX_BYTES; flag++)
		name[used++] = *flag == '-'
				       ? '_'
				       : (char)toupper((unsigned char)*flag);
	name[used] = '\0';
}

static size_t count_rows(const setting_t *rows)
{
	size_t count = 0;

	while (rows[count].flag)
		count++;
	return count;
}

static void print_choices(const char *const *choices)
{
	for (; *choices; choices++)
		fprintf(stderr, " %s", *choices);
}

static int report(const setting_t *row, const char *text)
{
	char name[ENV_NAME_MAX_BYTES];

	env_name(row->flag, name);
	fprintf(stderr, "setting --%s (%s): ", row->flag, name);
	if (!text) {
		fprintf(stderr, "a value is required\n");
		return ERR_SETTING;
	}
	fprintf(stderr, "'%s' is not accepted; ",
		row->secret ? "(secret)" : text);
	switch (row->type) {
	case SETTING_NUMBER:
		fprintf(stderr, "give a whole number from %.0f to %.0f",
			row->min, row->max);
		break;
	case SETTING_REAL:
		fprintf(stderr, "give a number from %g to %g", row->min,
			row->max);
		break;
	case SETTING_SWITCH:
		fprintf(stderr, "give 0 or 1");
		break;
	case SETTING_CHOICE:
		fprintf(stderr, "give one of:");
		print_choices(row->choices);
		break;
	case SETTING_TEXT:
		fprintf(stderr, "give a text of %.0f to %.0f bytes", row->min,
			row->max);
		break;
	}
	fprintf(stderr, "\n");
	return ERR_SETTING;
}

static bool parse_real(const setting_t *row, const char *text, double *value)
{
	char *end;

	*value = strtod(text, &end);
	return *text && !*end && *value >= row->min && *value <= row->max;
}

static bool set_number(const setting_t *row, const char *text)
{
	double value;

	if (strspn(text, "0123456789") != strlen(text) ||
	    !parse_real(row, text, &value))
		return false;
	*(uint32_t *)row->value = (uint32_t)value;
	return true;
}

static bool set_choice(const setting_t *row, const char *text)
{
	for (uint32_t i = 0; row->choices[i]; i++) {
		if (!strcmp(row->choices[i], text)) {
			*(uint32_t *)row->value = i;
			return true;
		}
	}
	return false;
}

static bool set_text(const setting_t *row, const char *text)
{
	size_t len = strlen(text);

	if (row->max > 0 && ((double)len < row->min || (double)len > row->max))
		return false;
	/* Settings live as long as the process. */
	*(const char **)row->value = strdup(text);
	return *(const char **)row->value != NULL;
}

static bool set_switch(const setting_t *row, const char *text)
{
	if (strcmp(text, "0") != 0 && strcmp(text, "1") != 0)
		return false;
	*(bool *)row->value = *text == '1';
	return true;
}

static bool set_value(const setting_t *row, const char *text)
{
	switch (row->type) {
	case SETTING_TEXT:
		return set_text(row, text);
	case SETTING_NUMBER:
		return set_number(row, text);
	case SETTING_REAL:
		return parse_real(row, text, row->value);
	case SETTING_SWITCH:
		return set_switch(row, text);
	case SETTING_CHOICE:
		return set_choice(row, text);
	}
	return false;
}

static int apply_row(const setting_t *row, const char *given)
{
	char name[ENV_NAME_MAX_BYTES];
	const char *text = given;

	if (!text) {
		env_name(row->flag, name);
		text = getenv(name);
	}
	if (!text)
		text = row->fallback;
	if (!text)
		return row->required ? report(row, NULL) : 0;
	return set_value(row, text) ? 0 : report(row, text);
}

static void fill_option(struct poptOption *option, const setting_t *row,
			int value)
{
	option->longName = row->flag;
	option->argInfo =
		row->type == SETTING_SWITCH ? POPT_ARG_NONE : POPT_ARG_STRING;
	option->val = value;
	option->descrip = row->text;
	if (row->type == SETTING_SWITCH)
		return;
	option->argDescrip = row->fallback ? row->fallback : "VALUE";
}

static size_t fill_options(struct poptOption *options, const setting_t *rows,
			   size_t count)
{
	size_t used = 0;

	for (size_t i = 0; i < count; i++) {
		if (rows[i].secret)
			continue;
		fill_option(&options[used++], &rows[i], FIRST_ROW + (int)i);
	}
	options[used++] = (struct poptOption){
		.longName = "version",
		.val = OPTION_VERSION,
		.descrip = "print the version and exit",
	};
	options[used++] = (struct poptOption){
		.longName = "check-settings",
		.val = OPTION_CHECK,
		.descrip = "check the settings and exit",
	};
	options[used++] = (struct poptOption){
		.argInfo = POPT_ARG_INCLUDE_TABLE,
		.arg = poptHelpOptions,
		.descrip = "Help options:",
	};
	return used;
}

static void take_option(given_t *given, const setting_t *rows, int value,
			poptContext context)
{
	if (value == OPTION_VERSION) {
		given->print_version = true;
		return;
	}
	if (value == OPTION_CHECK) {
		given->check_only = true;
		return;
	}
	value -= FIRST_ROW;
	if (rows[value].type == SETTING_SWITCH) {
		given->switched_on[value] = true;
		return;
	}
	free(given->texts[value]);
	given->texts[value] = poptGetOptArg(context);
}

static int copy_args(poptContext context, const char ***args)
{
	const char **rest = poptGetArgs(context);
	size_t count = 0;

	if (!args) {
		if (!rest || !*rest)
			return 0;
		fprintf(stderr, "unexpected argument: %s\n", *rest);
		return ERR_SETTING;
	}
	while (rest && rest[count])
		count++;
	*args = calloc(count + 1, sizeof(**args));
	if (!*args)
		return ERR_NO_MEMORY;
	for (size_t i = 0; i < count; i++)
		(*args)[i] = strdup(rest[i]);
	return 0;
}

/** Usage text with the secrets, which have no flag of their own. */
static char *usage_with_secrets(const char *usage, const setting_t *rows)
{
	char name[ENV_NAME_MAX_BYTES];
	char *text = NULL;
	size_t size;
	FILE *out = open_memstream(&text, &size);

	if (!out)
		return NULL;
	fputs(usage, out);
	for (const setting_t *row = rows; row->flag; row++) {
		if (!row->secret)
			continue;
		env_name(row->flag, name);
		fprintf(out, "\nEnvironment only: %s: %s", name, row->text);
	}
	fclose(out);
	return text;
}

static int read_flags(int argc, const char **argv, const setting_t *rows,
		      size_t count, const char *usage, given_t *given,
		      const char ***args)
{
	struct poptOption options[SETTINGS_MAX + 4] = { 0 };
	CLEANUP_FREE char *help = usage_with_secrets(usage, rows);
	poptContext context;
	int value;
	int err = 0;

	if (!help)
		return ERR_NO_MEMORY;
	fill_options(options, rows, count);
	context = poptGetContext(NULL, argc, argv, options, 0);
	poptSetOtherOptionHelp(context, help);
	while ((value = poptGetNextOpt(context)) >= 0)
		take_option(given, rows, value, context);
	if (value < -1) {
		fprintf(stderr, "%s: %s\n", poptBadOption(context, 0),
			poptStrerror(value));
		err = ERR_SETTING;
	} else {
		err = copy_args(context, args);
	}
	poptFreeContext(context);
	return err;
}

static int apply_rows(const setting_t *rows, size_t count, const given_t *given)
{
	int err = 0;

	for (size_t i = 0; i < count; i++) {
		const char *text =
			given->switched_on[i] ? "1" : given->texts[i];

		if (apply_row(&rows[i], text) < 0)
			err = ERR_SETTING;
	}
	return err;
}

int settings_read(int argc, const char **argv, const setting_t *rows,
		  const char *usage, const char ***args)
{
	__attribute__((cleanup(free_given))) given_t given = { 0 };
	size_t count = count_rows(rows);
	int err;

	if (count > SETTINGS_MAX)
		return ERR_LIMIT;
	err = read_flags(argc, argv, rows, count, usage, &given, args);
	if (!err && given.print_version) {
		printf("amaranthvale %s\n", AMV_VERSION);
		return SETTINGS_EXIT;
	}
	if (!err)
		err = apply_rows(rows, count, &given);
	if (err)
		return err;
	if (given.check_only) {
		printf("settings are valid\n");
		return SETTINGS_EXIT;
	}
	return SETTINGS_RUN;
}
