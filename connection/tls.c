#include "connection/tls.h"

#include <arpa/inet.h>
#include <event2/bufferevent_ssl.h>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <stdbool.h>
#include <stdlib.h>
#include <urcu/compiler.h>

#include "process/event.h"

typedef struct tls_kind {
	transport_t kind;
	SSL_CTX *context;
} tls_kind_t;

static void log_failure(const char *file)
{
	char reason[256];

	ERR_error_string_n(ERR_get_error(), reason, sizeof(reason));
	ERR_clear_error();
	event_log(EVENT_TLS_FAILED, "file=%s reason=\"%s\"", file, reason);
}

/* The certificate must name the address that the connection goes to. */
static bool expect_peer(SSL *ssl, const struct sockaddr *peer)
{
	const void *address =
		peer->sa_family == AF_INET6
			? (const void *)&((const struct sockaddr_in6 *)peer)
				  ->sin6_addr
			: (const void *)&((const struct sockaddr_in *)peer)
				  ->sin_addr;
	char text[INET6_ADDRSTRLEN];

	return inet_ntop(peer->sa_family, address, text, sizeof(text)) &&
	       X509_VERIFY_PARAM_set1_ip_asc(SSL_get0_param(ssl), text) == 1;
}

static struct bufferevent *make(const transport_t *kind,
				struct event_base *base, evutil_socket_t fd,
				const struct sockaddr *peer)
{
	const tls_kind_t *tls = caa_container_of(kind, tls_kind_t, kind);
	SSL *ssl = SSL_new(tls->context);
	struct bufferevent *stream = NULL;

	if (!ssl)
		return NULL;
	if (!peer || expect_peer(ssl, peer))
		stream = bufferevent_openssl_socket_new(
			base, fd, ssl,
			peer ? BUFFEREVENT_SSL_CONNECTING
			     : BUFFEREVENT_SSL_ACCEPTING,
			BEV_OPT_CLOSE_ON_FREE);
	if (!stream)
		SSL_free(ssl);
	return stream;
}

static void shutdown_output(struct bufferevent *stream)
{
	SSL *ssl = bufferevent_openssl_get_ssl(stream);

	/* The other side learns that nothing was cut off. */
	if (SSL_is_init_finished(ssl))
		SSL_shutdown(ssl);
	shutdown(bufferevent_getfd(stream), SHUT_WR);
}

static tls_kind_t *kind_new(const SSL_METHOD *method)
{
	tls_kind_t *tls = calloc(1, sizeof(*tls));

	if (!tls)
		return NULL;
	tls->kind.new_stream = make;
	tls->kind.shutdown_output = shutdown_output;
	tls->context = SSL_CTX_new(method);
	if (!tls->context) {
		free(tls);
		return NULL;
	}
	SSL_CTX_set_min_proto_version(tls->context, TLS1_2_VERSION);
	/* Idle connections give their buffers back. */
	SSL_CTX_set_mode(tls->context, SSL_MODE_RELEASE_BUFFERS);
	return tls;
}

transport_t *tls_server_new(const char *certificate)
{
	tls_kind_t *tls = kind_new(TLS_server_method());

	if (!tls)
		return NULL;
	if (SSL_CTX_use_certificate_chain_file(tls->context, certificate) ==
		    1 &&
	    SSL_CTX_use_PrivateKey_file(tls->context, certificate,
					SSL_FILETYPE_PEM) == 1 &&
	    SSL_CTX_check_private_key(tls->context) == 1)
		return &tls->kind;
	log_failure(certificate);
	tls_free(&tls->kind);
	return NULL;
}

transport_t *tls_client_new(const char *ca_file)
{
	tls_kind_t *tls = kind_new(TLS_client_method());
	int ok;

	if (!tls)
		return NULL;
	ok = ca_file ? SSL_CTX_load_verify_locations(tls->context, ca_file,
						     NULL)
		     : SSL_CTX_set_default_verify_paths(tls->context);
	if (ok == 1) {
		SSL_CTX_set_verify(tls->context, SSL_VERIFY_PEER, NULL);
		return &tls->kind;
	}
	log_failure(ca_file ? ca_file : "(system)");
	tls_free(&tls->kind);
	return NULL;
}

void tls_free(transport_t *kind)
{
	tls_kind_t *tls;

	if (!kind)
		return;
	tls = caa_container_of(kind, tls_kind_t, kind);
	SSL_CTX_free(tls->context);
	free(tls);
}
