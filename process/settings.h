/**
 * @file
 * Settings from flags and environment variables, validated against a table.
 *
 * The flag `--store-url` has the environment variable `AMV_STORE_URL`; the flag
 * takes precedence. Every program has the flags `--help`, `--version` and
 * `--check-settings`.
 */
#ifndef PROCESS_SETTINGS_H
#define PROCESS_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Version printed by `--version`. */
#define AMV_VERSION "0.1.0"

typedef enum setting_type {
	SETTING_TEXT,	/**< `const char *`; the default may be NULL. */
	SETTING_NUMBER, /**< `uint32_t` within [min, max]. */
	SETTING_REAL,	/**< `double` within [min, max]. */
	SETTING_SWITCH, /**< `bool`; a flag without argument. */
	SETTING_CHOICE, /**< `uint32_t` index into `choices`. */
} setting_type_t;

/** Entry of a program's settings table. */
typedef struct setting {
	const char *flag; /**< Long flag without the dashes. */
	setting_type_t type;
	void *value;	      /**< Receives the value. */
	const char *text;     /**< Help text with the unit. */
	const char *fallback; /**< Default as text; NULL for none. */
	double min;	      /**< Text: length, bytes; unused if max is 0. */
	double max;
	const char *const *choices; /**< NULL-terminated; for CHOICE. */
	bool required;
	bool secret; /**< Environment only, not a flag; never printed. */
} setting_t;

typedef enum settings_outcome {
	SETTINGS_RUN,  /**< Run the program. */
	SETTINGS_EXIT, /**< `--version` and the like; exit with 0. */
} settings_outcome_t;

/**
 * Reads flags and environment variables into the table's values.
 * @param settings table; the last entry has flag NULL
 * @param args receives the arguments that are not flags, NULL-terminated and
 *             valid until the process ends; NULL if none are allowed
 * @return a settings_outcome_t, or ERR_SETTING after a message on standard
 *         error that names the setting and the accepted range
 */
int settings_read(int argc, const char **argv, const setting_t *settings,
		  const char *usage, const char ***args);

#endif
