#include "process/settings.h"

#include <ctype.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/error.h"

enum {
	/** Most entries in a program's table. */
	SETTINGS_MAX = 96,
	ENV_NAME_MAX_BYTES = 64,
	/** popt return values; settings use OPTION_FIRST_SETTING + index. */
	OPTION_VERSION = 1,
	OPTION_CHECK = 2,
	OPTION_FIRST_SETTING = 16,
};

/** Values from the command line, indexed as the settings table. */
typedef struct flag_values {
	char *texts[SETTINGS_MAX];
	bool is_on[SETTINGS_MAX];
	bool check_only;
	bool print_version;
} flag_values_t;

static void free_flag_values(flag_values_t *flags)
{
	for (size_t i = 0; i < SETTINGS_MAX; i++)
		free(flags->texts[i]);
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

static size_t count_settings(const setting_t *settings)
{
	size_t count = 0;

	while (settings[count].flag)
		count++;
	return count;
}

static void print_choices(const char *const *choices)
{
	for (; *choices; choices++)
		fprintf(stderr, " %s", *choices);
}

static int report_invalid(const setting_t *setting, const char *text)
{
	char name[ENV_NAME_MAX_BYTES];

	env_name(setting->flag, name);
	fprintf(stderr, "setting --%s (%s): ", setting->flag, name);
	if (!text) {
		fprintf(stderr, "a value is required\n");
		return ERR_SETTING;
	}
	fprintf(stderr, "'%s' is not accepted; ",
		setting->secret ? "(secret)" : text);
	switch (setting->type) {
	case SETTING_NUMBER:
		fprintf(stderr, "give a whole number from %.0f to %.0f",
			setting->min, setting->max);
		break;
	case SETTING_REAL:
		fprintf(stderr, "give a number from %g to %g", setting->min,
			setting->max);
		break;
	case SETTING_SWITCH:
		fprintf(stderr, "give 0 or 1");
		break;
	case SETTING_CHOICE:
		fprintf(stderr, "give one of:");
		print_choices(setting->choices);
		break;
	case SETTING_TEXT:
		fprintf(stderr, "give a text of %.0f to %.0f bytes",
			setting->min, setting->max);
		break;
	}
	fprintf(stderr, "\n");
	return ERR_SETTING;
}

static bool parse_real(const setting_t *setting, const char *text,
		       double *value)
{
	char *end;

	*value = strtod(text, &end);
	return *text && !*end && *value >= setting->min &&
	       *value <= setting->max;
}

static bool set_number(const setting_t *setting, const char *text)
{
	double value;

	if (strspn(text, "0123456789") != strlen(text) ||
	    !parse_real(setting, text, &value))
		return false;
	*(uint32_t *)setting->value = (uint32_t)value;
	return true;
}

static bool set_choice(const setting_t *setting, const char *text)
{
	for (uint32_t i = 0; setting->choices[i]; i++) {
		if (!strcmp(setting->choices[i], text)) {
			*(uint32_t *)setting->value = i;
			return true;
		}
	}
	return false;
}

static bool set_text(const setting_t *setting, const char *text)
{
	size_t len = strlen(text);

	if (setting->max > 0 &&
	    ((double)len < setting->min || (double)len > setting->max))
		return false;
	/* Never freed: settings live as long as the process. */
	*(const char **)setting->value = strdup(text);
	return *(const char **)setting->value != NULL;
}

static bool set_switch(const setting_t *setting, const char *text)
{
	if (strcmp(text, "0") != 0 && strcmp(text, "1") != 0)
		return false;
	*(bool *)setting->value = *text == '1';
	return true;
}

static bool set_value(const setting_t *setting, const char *text)
{
	switch (setting->type) {
	case SETTING_TEXT:
		return set_text(setting, text);
	case SETTING_NUMBER:
		return set_number(setting, text);
	case SETTING_REAL:
		return parse_real(setting, text, setting->value);
	case SETTING_SWITCH:
		return set_switch(setting, text);
	case SETTING_CHOICE:
		return set_choice(setting, text);
	}
	return false;
}

static int apply_setting(const setting_t *setting, const char *flag_text)
{
	char name[ENV_NAME_MAX_BYTES];
	const char *text = flag_text;

	if (!text) {
		env_name(setting->flag, name);
		text = getenv(name);
	}
	if (!text)
		text = setting->fallback;
	if (!text)
		return setting->required ? report_invalid(setting, NULL) : 0;
	return set_value(setting, text) ? 0 : report_invalid(setting, text);
}

static void fill_option(struct poptOption *option, const setting_t *setting,
			int value)
{
	option->longName = setting->flag;
	option->argInfo = setting->type == SETTING_SWITCH ? POPT_ARG_NONE
							  : POPT_ARG_STRING;
	option->val = value;
	option->descrip = setting->text;
	if (setting->type == SETTING_SWITCH)
		return;
	option->argDescrip = setting->fallback ? setting->fallback : "VALUE";
}

static size_t fill_options(struct poptOption *options,
			   const setting_t *settings, size_t count)
{
	size_t used = 0;

	for (size_t i = 0; i < count; i++) {
		if (settings[i].secret)
			continue;
		fill_option(&options[used++], &settings[i],
			    OPTION_FIRST_SETTING + (int)i);
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

static void store_option(flag_values_t *flags, const setting_t *settings,
			 int value, poptContext context)
{
	if (value == OPTION_VERSION) {
		flags->print_version = true;
		return;
	}
	if (value == OPTION_CHECK) {
		flags->check_only = true;
		return;
	}
	value -= OPTION_FIRST_SETTING;
	if (settings[value].type == SETTING_SWITCH) {
		flags->is_on[value] = true;
		return;
	}
	free(flags->texts[value]);
	flags->texts[value] = poptGetOptArg(context);
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

/** Usage text with the secrets appended, as these have no flag. */
static char *usage_with_secrets(const char *usage, const setting_t *settings)
{
	char name[ENV_NAME_MAX_BYTES];
	char *text = NULL;
	size_t size;
	FILE *out = open_memstream(&text, &size);

	if (!out)
		return NULL;
	fputs(usage, out);
	for (const setting_t *setting = settings; setting->flag; setting++) {
		if (!setting->secret)
			continue;
		env_name(setting->flag, name);
		fprintf(out, "\nEnvironment only: %s: %s", name, setting->text);
	}
	fclose(out);
	return text;
}

static int read_flags(int argc, const char **argv, const setting_t *settings,
		      size_t count, const char *usage, flag_values_t *flags,
		      const char ***args)
{
	struct poptOption options[SETTINGS_MAX + 4] = { 0 };
	CLEANUP_FREE char *help = usage_with_secrets(usage, settings);
	poptContext context;
	int value;
	int err = 0;

	if (!help)
		return ERR_NO_MEMORY;
	fill_options(options, settings, count);
	context = poptGetContext(NULL, argc, argv, options, 0);
	poptSetOtherOptionHelp(context, help);
	while ((value = poptGetNextOpt(context)) >= 0)
		store_option(flags, settings, value, context);
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

static int apply_settings(const setting_t *settings, size_t count,
			  const flag_values_t *flags)
{
	int err = 0;

	for (size_t i = 0; i < count; i++) {
		const char *text = flags->is_on[i] ? "1" : flags->texts[i];

		if (apply_setting(&settings[i], text) < 0)
			err = ERR_SETTING;
	}
	return err;
}

int settings_read(int argc, const char **argv, const setting_t *settings,
		  const char *usage, const char ***args)
{
	__attribute__((cleanup(free_flag_values))) flag_values_t flags = { 0 };
	size_t count = count_settings(settings);
	int err;

	if (count > SETTINGS_MAX)
		return ERR_LIMIT;
	err = read_flags(argc, argv, settings, count, usage, &flags, args);
	if (!err && flags.print_version) {
		printf("amaranthvale %s\n", AMV_VERSION);
		return SETTINGS_EXIT;
	}
	if (!err)
		err = apply_settings(settings, count, &flags);
	if (err)
		return err;
	if (flags.check_only) {
		printf("settings are valid\n");
		return SETTINGS_EXIT;
	}
	return SETTINGS_RUN;
}
