/* TLS on both sides of a router, and secrets in its log. */
#include <curl/curl.h>
#include <fcntl.h>
#include <glib.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "connection/tls_front.h"
#include "process/cleanup.h"
#include "t/lib/rig.h"

enum { LIFETIME_S = 3600 };

/** A certificate with its key. */
typedef struct identity {
	EVP_PKEY *key;
	X509 *certificate;
	char *path; /**< PEM file with both. */
} identity_t;

static void add_extension(X509 *certificate, int nid, const char *value)
{
	X509_EXTENSION *extension = X509V3_EXT_conf_nid(NULL, NULL, nid, value);

	g_assert_nonnull(extension);
	X509_add_ext(certificate, extension, -1);
	X509_EXTENSION_free(extension);
}

/** Signs with the key of `issuer`, or makes an authority if it is NULL. */
static identity_t make_identity(const char *name, const identity_t *issuer)
{
	identity_t made = { .key = EVP_EC_gen("P-256"),
			    .certificate = X509_new() };
	X509_NAME *subject = X509_get_subject_name(made.certificate);
	FILE *file;
	int fd = g_file_open_tmp("pem-XXXXXX", &made.path, NULL);

	X509_set_version(made.certificate, X509_VERSION_3);
	X509_gmtime_adj(X509_getm_notBefore(made.certificate), -LIFETIME_S);
	X509_gmtime_adj(X509_getm_notAfter(made.certificate), LIFETIME_S);
	X509_set_pubkey(made.certificate, made.key);
	X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC,
				   (const unsigned char *)name, -1, -1, 0);
	X509_set_issuer_name(made.certificate,
			     issuer ? X509_get_subject_name(issuer->certificate)
				    : subject);
	add_extension(made.certificate, NID_basic_constraints,
		      issuer ? "CA:FALSE" : "critical,CA:TRUE");
	add_extension(made.certificate, NID_subject_alt_name, "IP:127.0.0.1");
	g_assert_cmpint(X509_sign(made.certificate,
				  issuer ? issuer->key : made.key,
				  EVP_sha256()),
			>, 0);
	file = fdopen(fd, "w");
	g_assert_nonnull(file);
	PEM_write_X509(file, made.certificate);
	PEM_write_PrivateKey(file, made.key, NULL, NULL, 0, NULL, NULL);
	fclose(file);
	return made;
}

static void free_identity(identity_t *identity)
{
	remove(identity->path);
	g_free(identity->path);
	X509_free(identity->certificate);
	EVP_PKEY_free(identity->key);
}

#define AUTO_IDENTITY __attribute__((cleanup(free_identity))) identity_t

static http_answer_t *chat_by(const char *scheme, rig_t *rig)
{
	static const char *const headers[] = { RIG_KEY_1, NULL };
	CLEANUP_FREE char *body = rig_body("hello", 2, false);
	g_autofree char *url = g_strdup_printf("%s://127.0.0.1:%u" RIG_CHAT,
					       scheme, rig->ports[0]);

	return http_call("POST", url, headers, body);
}

/* A caller must not talk to a router it cannot verify, and a plain request to
 * the TLS port must neither run nor disturb the router. */
static void test_tls_callers(void)
{
	AUTO_IDENTITY authority = make_identity("authority", NULL);
	AUTO_IDENTITY other = make_identity("other authority", NULL);
	AUTO_IDENTITY server = make_identity("router", &authority);
	rig_options_t options = {
		.engines = 1,
		.routers = 1,
		.routers_tls = true,
		.router_args = { "--tls-certificate", server.path },
	};
	g_autoptr(rig_t) rig = NULL;
	g_autoptr(http_answer_t) good = NULL;
	g_autoptr(http_answer_t) unverified = NULL;
	g_autoptr(http_answer_t) plain = NULL;
	g_autoptr(http_answer_t) again = NULL;

	http_trust(authority.path);
	rig = rig_start(&options);
	good = chat_by("https", rig);
	g_assert_cmpint(good->status, ==, 200);
	http_trust(other.path);
	unverified = chat_by("https", rig);
	g_assert_cmpint(unverified->curl_result, ==,
			CURLE_PEER_FAILED_VERIFICATION);
	http_trust(authority.path);
	plain = chat_by("http", rig);
	g_assert_cmpint(plain->status, !=, 200);
	g_assert_cmpint(rig_engine_sum(rig, "requests_run"), ==, 1);
	again = chat_by("https", rig);
	g_assert_cmpint(again->status, ==, 200);
}

/** One request through a router to an engine behind TLS. */
static void check_endpoint(const identity_t *server, const char *ca, bool tls,
			   const char *state)
{
	g_autoptr(program_t) engine = standin_start("standin-engine", NULL);
	tls_front_settings_t settings = {
		.address = "127.0.0.1",
		.certificate = server->path,
		.target_port = program_main_port(engine),
		.connections_max = 16,
		.handshake_timeout_ms = HARNESS_WAIT_MS,
	};
	tls_front_t *front = tls_front_start(&settings);
	g_autofree char *object = g_strdup_printf(
		"\"endpoint/e0\":{\"kind\":\"engine\",\"pool\":\"models\","
		"\"address\":\"127.0.0.1\",\"port\":%u,\"domain\":\"d1\","
		"\"tls\":%s},",
		tls_front_port(front), tls ? "true" : "false");
	rig_options_t options = { .routers = 1,
				  .objects = object,
				  .router_args = { "--endpoint-ca", ca } };
	g_autoptr(rig_t) rig = rig_start(&options);
	g_autoptr(http_answer_t) answer = chat_by("http", rig);
	const char *given = "ran";
	bool runs = !strcmp(state, "ran");

	g_test_message("%s", answer->body);
	json_unpack(answer->json, "{s:{s:s}}", "error", "ran", &given);
	g_assert_cmpstr(given, ==, state);
	g_assert_cmpint(answer->status == 200, ==, runs);
	g_assert_cmpint(http_local_number(settings.target_port,
					  "/control/stats", "requests_run"),
			==, runs);
	tls_front_stop(front);
}

/* Nothing may be sent to an endpoint that cannot be verified. */
static void test_tls_endpoints(void)
{
	AUTO_IDENTITY authority = make_identity("authority", NULL);
	AUTO_IDENTITY other = make_identity("other authority", NULL);
	AUTO_IDENTITY server = make_identity("engine", &authority);

	http_trust(authority.path);
	check_endpoint(&server, authority.path, true, "ran");
	check_endpoint(&server, other.path, true, "not_run");
	/* What was sent in the clear may have run as far as a router knows. */
	check_endpoint(&server, authority.path, false, "unknown");
}

/** Starts a rig whose programs log to a file. */
static rig_t *start_logged(const rig_options_t *options, char **log)
{
	int own = dup(STDERR_FILENO);
	int fd = g_file_open_tmp("log-XXXXXX", log, NULL);
	rig_t *rig;

	dup2(fd, STDERR_FILENO);
	close(fd);
	rig = rig_start(options);
	dup2(own, STDERR_FILENO);
	close(own);
	return rig;
}

/** Requests that are answered, refused and cut, with known texts. */
static void make_log(const rig_options_t *options, char **log)
{
	static const char *const order[] = { RIG_KEY_1,
					     "Idempotency-Key: SECRET-key",
					     NULL };
	static const char *const stranger[] = {
		"Authorization: Bearer SECRET-customer", NULL
	};
	g_autoptr(rig_t) rig = start_logged(options, log);
	CLEANUP_FREE char *body = rig_body("SECRET-prompt", 200, true);
	g_autoptr(http_answer_t) refused =
		http_local("POST", rig->ports[0], RIG_CHAT, stranger, body);
	g_autoptr(http_answer_t) malformed =
		rig_chat(rig, 0, "{\"model\":\"m1\",\"SECRET-prompt");
	g_autoptr(http_answer_t) done = http_local(
		"POST", rig->ports[0], "/svc/dispatch/x", order, "SECRET-body");
	g_autoptr(http_answer_t) lost = NULL;
	g_autoptr(http_stream_t) stream =
		rig_stream(rig, 0, RIG_KEY_1, body, NULL);

	g_assert_cmpint(refused->status, ==, 401);
	g_assert_cmpint(malformed->status, ==, 400);
	g_assert_cmpint(done->status, ==, 200);
	standin_control(rig->plain_ports[0], "{\"lose_answers\":1}");
	lost = http_local("POST", rig->ports[0], "/svc/dispatch/x",
			  (const char *const[]){ RIG_KEY_1,
						 "Idempotency-Key: SECRET-2",
						 NULL },
			  "SECRET-body");
	g_assert_cmpint(lost->status, ==, 502);
	g_assert_true(
		WAIT_UNTIL(http_stream_count(stream) > 4, HARNESS_WAIT_MS));
	rig_kill_engine(rig, 0);
	http_stream_wait(stream);
}

/* Logs are read by more people than keys and prompts are meant for. */
static void test_no_secrets_in_logs(void)
{
	static const char *const secrets[] = { "SECRET-", "key-of-customer-1",
					       "key-of-the-test-cluster",
					       "key-of-the-operators",
					       "salt-c1" };
	rig_options_t options = { .engines = 1,
				  .plains = 1,
				  .routers = 1,
				  .router_args = { "--log-level", "debug" } };
	g_autofree char *path = NULL;
	g_autofree char *log = NULL;

	http_trust(NULL);
	make_log(&options, &path);
	g_assert_true(g_file_get_contents(path, &log, NULL, NULL));
	remove(path);
	/* The log is the routers' and has what these requests caused. */
	g_assert_nonnull(strstr(log, "name=order_unknown"));
	g_assert_nonnull(strstr(log, "name=attempt_ended"));
	g_assert_nonnull(strstr(log, "name=stopped"));
	for (size_t i = 0; i < G_N_ELEMENTS(secrets); i++) {
		if (strstr(log, secrets[i]))
			g_error("%s is in the log:\n%s", secrets[i], log);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	g_test_add_func("/security/tls-callers", test_tls_callers);
	g_test_add_func("/security/tls-endpoints", test_tls_endpoints);
	g_test_add_func("/security/logs", test_no_secrets_in_logs);
	return g_test_run();
}
