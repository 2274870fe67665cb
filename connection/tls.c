#include "connection/tls.h"

#include <arpa/inet.h>
#include <event2/bufferevent_ssl.h>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <stdbool.h>
#include <stdlib.h>
#include <urcu/compiler.h>

#include "process/event.h"

typedef struct tls_transport {
	transport_t transport;
	SSL_CTX *context;
} tls_transport_t;

static void log_failure(const char *file)
{
	char reason[256];

	ERR_error_string_n(ERR_get_error(), reason, sizeof(reason));
	ERR_clear_error();
	event_log(EVENT_TLS_FAILED, "file=%s reason=\"%s\"", file, reason);
}

/* Requires that the peer's certificate names the address connected to. */
static bool set_expected_address(SSL *ssl, const struct sockaddr *peer)
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

static struct bufferevent *new_stream(const transport_t *transport,
				      struct event_base *base,
				      evutil_socket_t fd,
				      const struct sockaddr *peer)
{
	const tls_transport_t *tls =
		caa_container_of(transport, tls_transport_t, transport);
	SSL *ssl = SSL_new(tls->context);
	struct bufferevent *stream = NULL;

	if (!ssl)
		return NULL;
	if (!peer || set_expected_address(ssl, peer))
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

	/* close_notify tells the peer that the data was not truncated. */
	if (SSL_is_init_finished(ssl))
		SSL_shutdown(ssl);
	shutdown(bufferevent_getfd(stream), SHUT_WR);
}

static tls_transport_t *tls_transport_new(const SSL_METHOD *method)
{
	tls_transport_t *tls = calloc(1, sizeof(*tls));

	if (!tls)
		return NULL;
	tls->transport.new_stream = new_stream;
	tls->transport.shutdown_output = shutdown_output;
	tls->context = SSL_CTX_new(method);
	if (!tls->context) {
		free(tls);
		return NULL;
	}
	SSL_CTX_set_min_proto_version(tls->context, TLS1_2_VERSION);
	/* Idle connections release their buffers. */
	SSL_CTX_set_mode(tls->context, SSL_MODE_RELEASE_BUFFERS);
	return tls;
}

transport_t *tls_server_new(const char *certificate)
{
	tls_transport_t *tls = tls_transport_new(TLS_server_method());

	if (!tls)
		return NULL;
	if (SSL_CTX_use_certificate_chain_file(tls->context, certificate) ==
		    1 &&
	    SSL_CTX_use_PrivateKey_file(tls->context, certificate,
					SSL_FILETYPE_PEM) == 1 &&
	    SSL_CTX_check_private_key(tls->context) == 1)
		return &tls->transport;
	log_failure(certificate);
	tls_free(&tls->transport);
	return NULL;
}

transport_t *tls_client_new(const char *ca_file)
{
	tls_transport_t *tls = tls_transport_new(TLS_client_method());
	int ok;

	if (!tls)
		return NULL;
	ok = ca_file ? SSL_CTX_load_verify_locations(tls->context, ca_file,
						     NULL)
		     : SSL_CTX_set_default_verify_paths(tls->context);
	if (ok == 1) {
		SSL_CTX_set_verify(tls->context, SSL_VERIFY_PEER, NULL);
		return &tls->transport;
	}
	log_failure(ca_file ? ca_file : "(system)");
	tls_free(&tls->transport);
	return NULL;
}

void tls_free(transport_t *transport)
{
	tls_transport_t *tls;

	if (!transport)
		return;
	tls = caa_container_of(transport, tls_transport_t, transport);
	SSL_CTX_free(tls->context);
	free(tls);
}
