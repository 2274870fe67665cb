/* TLS between clients, router and endpoints; no secrets in the router's log. */
#include <curl/curl.h>
#include <glib.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <stdio.h>
#include <string.h>

#include "t/lib/tls_proxy.h"
#include "process/cleanup.h"
#include "t/lib/rig.h"

enum { CERTIFICATE_VALIDITY_S = 3600 };

/**
 * Makes a self-signed certificate for 127.0.0.1.
 * @return path of a PEM file with certificate and key; remove() and g_free() it
 */
static char *make_certificate(void)
{
	EVP_PKEY *key = EVP_EC_gen("P-256");
	X509 *made = X509_new();
	X509_NAME *name = X509_get_subject_name(made);
	X509_EXTENSION *address = X509V3_EXT_conf_nid(
		NULL, NULL, NID_subject_alt_name, "IP:127.0.0.1");
	char *path = NULL;
	FILE *file = fdopen(g_file_open_tmp("pem-XXXXXX", &path, NULL), "w");

	X509_set_version(made, X509_VERSION_3);
	X509_gmtime_adj(X509_getm_notBefore(made), -CERTIFICATE_VALIDITY_S);
	X509_gmtime_adj(X509_getm_notAfter(made), CERTIFICATE_VALIDITY_S);
	X509_set_pubkey(made, key);
	X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC,
				   (const unsigned char *)path, -1, -1, 0);
	X509_set_issuer_name(made, name);
	X509_add_ext(made, address, -1);
	g_assert_cmpint(X509_sign(made, key, EVP_sha256()), >, 0);
	PEM_write_X509(file, made);
	PEM_write_PrivateKey(file, key, NULL, NULL, 0, NULL, NULL);
	fclose(file);
	X509_EXTENSION_free(address);
	X509_free(made);
	EVP_PKEY_free(key);
	return path;
}

static http_answer_t *send_chat(const char *scheme, rig_t *rig)
{
	static const char *const headers[] = { RIG_KEY_1, NULL };
	CLEANUP_FREE char *body = rig_body("hello", 2, false);
	g_autofree char *url = g_strdup_printf("%s://127.0.0.1:%u" RIG_CHAT,
					       scheme, rig->ports[0]);

	return http_call("POST", url, headers, body);
}

/* A client does not send a request to a router that it cannot verify. A plain
 * HTTP request to the TLS port is not run and does not affect the router. */
static void test_tls_clients(void)
{
	g_autofree char *own = make_certificate();
	g_autofree char *other = make_certificate();
	const struct {
		const char *scheme;
		const char *ca;
		long status;
	} cases[] = {
		{ "https", own, 200 },
		{ "https", other, 0 },
		{ "http", own, 0 },
		{ "https", own, 200 },
	};
	rig_options_t options = {
		.engines = 1,
		.routers = 1,
		.routers_tls = true,
		.router_args = { "--tls-certificate", own },
	};
	g_autoptr(rig_t) rig = NULL;

	http_trust(own);
	rig = rig_start(&options);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autoptr(http_answer_t) answer = NULL;

		http_trust(cases[i].ca);
		answer = send_chat(cases[i].scheme, rig);
		g_assert_cmpint(answer->status, ==, cases[i].status);
		g_assert_cmpint(answer->curl_result ==
					CURLE_PEER_FAILED_VERIFICATION,
				==, cases[i].ca == other);
	}
	g_assert_cmpint(rig_engine_sum(rig, "requests_run"), ==, 2);
	http_trust(NULL);
	remove(own);
	remove(other);
}

/** Sends a request through a router to an engine behind a TLS proxy. */
static void check_endpoint(const char *certificate, const char *ca, bool tls,
			   const char *expected_state)
{
	g_autoptr(program_t) engine = standin_start("standin-engine", NULL);
	tls_proxy_settings_t settings = {
		.address = "127.0.0.1",
		.certificate = certificate,
		.target_port = program_main_port(engine),
		.connections_max = 16,
		.handshake_timeout_ms = HARNESS_WAIT_MS,
	};
	tls_proxy_t *proxy = tls_proxy_start(&settings);
	g_autofree char *object = g_strdup_printf(
		"\"endpoint/e0\":{\"kind\":\"engine\",\"pool\":\"models\","
		"\"address\":\"127.0.0.1\",\"port\":%u,\"domain\":\"d1\","
		"\"tls\":%s},",
		tls_proxy_port(proxy), tls ? "true" : "false");
	rig_options_t options = { .routers = 1,
				  .objects = object,
				  .router_args = { "--endpoint-ca", ca } };
	g_autoptr(rig_t) rig = rig_start(&options);
	g_autoptr(http_answer_t) answer = send_chat("http", rig);
	const char *run_state = "ran";
	bool runs = !strcmp(expected_state, "ran");

	g_test_message("%s", answer->body);
	json_unpack(answer->json, "{s:{s:s}}", "error", "ran", &run_state);
	g_assert_cmpstr(run_state, ==, expected_state);
	g_assert_cmpint(answer->status == 200, ==, runs);
	g_assert_cmpint(http_local_number(settings.target_port,
					  "/control/stats", "requests_run"),
			==, runs);
	tls_proxy_stop(proxy);
}

/* Nothing is sent to an endpoint that cannot be verified. */
static void test_tls_endpoints(void)
{
	g_autofree char *own = make_certificate();
	g_autofree char *other = make_certificate();

	check_endpoint(own, own, true, "ran");
	check_endpoint(own, other, true, "not_run");
	/* The router cannot know whether a request sent without TLS ran. */
	check_endpoint(own, own, false, "unknown");
	remove(own);
	remove(other);
}

static void assert_post_status(rig_t *rig, const char *path, const char *key,
			       const char *body, long status)
{
	const char *const headers[] = { key, "Idempotency-Key: SECRET-key",
					NULL };
	g_autoptr(http_answer_t) answer =
		http_local("POST", rig->ports[0], path, headers, body);

	g_assert_cmpint(answer->status, ==, status);
}

/** Sends requests that are refused or interrupted, with secrets in them. */
static void log_requests_with_secrets(void)
{
	rig_options_t options = { .engines = 1,
				  .plain_services = 1,
				  .routers = 1,
				  .router_args = { "--log-level", "debug" } };
	g_autoptr(rig_t) rig = rig_start(&options);
	CLEANUP_FREE char *body = rig_body("SECRET-prompt", 200, true);
	g_autoptr(http_stream_t) stream =
		rig_stream(rig, 0, RIG_KEY_1, body, NULL);

	assert_post_status(rig, RIG_CHAT, "Authorization: Bearer SECRET-1",
			   body, 401);
	assert_post_status(rig, RIG_CHAT, RIG_KEY_1, "{\"SECRET-prompt", 400);
	standin_control(rig->plain_ports[0], "{\"lose_answers\":1}");
	assert_post_status(rig, "/svc/dispatch/x", RIG_KEY_1, "SECRET-body",
			   502);
	g_assert_true(
		WAIT_UNTIL(http_stream_count(stream) > 4, HARNESS_WAIT_MS));
	rig_kill_engine(rig, 0);
	http_stream_wait(stream);
}

/* Logs must not contain keys or prompts: more people may read them than may see
 * keys and prompts. */
static void test_no_secrets_in_logs(void)
{
	g_test_trap_subprocess("/security/logs/subprocess", 0, 0);
	g_test_trap_assert_passed();
	g_test_trap_assert_stderr("*name=order_unknown*");
	g_test_trap_assert_stderr("*name=attempt_ended*");
	g_test_trap_assert_stderr_unmatched("*SECRET-*");
	/* Prefixes of all keys and salts of the rig. */
	g_test_trap_assert_stderr_unmatched("*key-of-*");
	g_test_trap_assert_stderr_unmatched("*salt-*");
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	g_test_add_func("/security/tls-clients", test_tls_clients);
	g_test_add_func("/security/tls-endpoints", test_tls_endpoints);
	g_test_add_func("/security/logs/subprocess", log_requests_with_secrets);
	g_test_add_func("/security/logs", test_no_secrets_in_logs);
	return g_test_run();
}
