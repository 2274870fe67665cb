#include "t/lib/http_client.h"

#include <curl/curl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "process/cleanup.h"
#include "process/clock.h"

enum {
	CALL_TIMEOUT_MS = 60000,
	URL_MAX_BYTES = 1024,
};

struct http_stream {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	pthread_t thread;
	bool joined;
	bool ended;
	bool paused;
	bool cancelled;
	int fd; /**< Socket in use; -1 for none. */
	char *method;
	char *url;
	char **headers;
	char *body;
	GString *line;
	sse_event_t pending;
	GPtrArray *events;
	GString *received_headers;
	GString *received_body;
	http_answer_t answer;
};

static const char *trusted_ca_file;

void http_trust(const char *ca_file)
{
	trusted_ca_file = ca_file;
}

static size_t append_to_string(char *data, size_t size, size_t count,
			       void *target)
{
	g_string_append_len(target, data, (gssize)(size * count));
	return size * count;
}

static struct curl_slist *make_header_list(const char *const *headers)
{
	/* An empty Expect header keeps curl from waiting for "100 Continue". */
	struct curl_slist *list = curl_slist_append(NULL, "Expect:");

	for (; headers && *headers; headers++)
		list = curl_slist_append(list, *headers);
	return list;
}

http_answer_t *http_local(const char *method, uint16_t port, const char *path,
			  const char *const *headers, const char *body)
{
	char url[URL_MAX_BYTES];

	g_snprintf(url, sizeof(url), "http://127.0.0.1:%u%s", port, path);
	return http_call(method, url, headers, body);
}

static void clear_answer(http_answer_t *answer)
{
	g_free(answer->headers);
	g_free(answer->body);
	json_decref(answer->json);
}

void http_answer_free(http_answer_t *answer)
{
	clear_answer(answer);
	g_free(answer);
}

char *http_answer_header(const http_answer_t *answer, const char *name)
{
	g_auto(GStrv) lines = g_strsplit(answer->headers, "\r\n", -1);
	size_t len = strlen(name);

	for (char **line = lines; *line; line++) {
		if (!g_ascii_strncasecmp(*line, name, len) &&
		    (*line)[len] == ':')
			return g_strstrip(g_strdup(*line + len + 1));
	}
	return NULL;
}

int64_t http_local_number(uint16_t port, const char *path, const char *member)
{
	g_autoptr(http_answer_t) answer =
		http_local("GET", port, path, NULL, NULL);
	g_auto(GStrv) member_names = g_strsplit(member, " ", -1);
	json_t *value = answer->json;

	if (!value)
		return -1;
	for (char **name = member_names; *name; name++)
		value = json_object_get(value, *name);
	return json_integer_value(value);
}

static void free_event(void *data)
{
	sse_event_t *event = data;

	g_free(event->id);
	g_free(event->event);
	g_free(event->data);
	g_free(event);
}

static void set_field(char **field, const char *value)
{
	g_free(*field);
	*field = g_strdup(*value == ' ' ? value + 1 : value);
}

/** Parses one line of an SSE stream; the lock must be held. */
static void parse_line(http_stream_t *stream, const char *line)
{
	sse_event_t *pending = &stream->pending;

	if (g_str_has_prefix(line, "id:")) {
		set_field(&pending->id, line + 3);
	} else if (g_str_has_prefix(line, "event:")) {
		set_field(&pending->event, line + 6);
	} else if (g_str_has_prefix(line, "data:")) {
		set_field(&pending->data, line + 5);
	} else if (!*line && (pending->data || pending->event || pending->id)) {
		pending->at_ms = clock_now_ms();
		g_ptr_array_add(stream->events,
				g_memdup2(pending, sizeof(*pending)));
		*pending = (sse_event_t){ 0 };
		pthread_cond_broadcast(&stream->changed);
	}
}

static size_t receive_body(char *data, size_t size, size_t count, void *target)
{
	http_stream_t *stream = target;
	SCOPED_LOCK(held, &stream->lock);

	while (stream->paused && !stream->cancelled)
		pthread_cond_wait(&stream->changed, &stream->lock);
	g_string_append_len(stream->received_body, data,
			    (gssize)(size * count));
	for (size_t i = 0; i < size * count; i++) {
		if (data[i] != '\n') {
			if (data[i] != '\r')
				g_string_append_c(stream->line, data[i]);
			continue;
		}
		parse_line(stream, stream->line->str);
		g_string_truncate(stream->line, 0);
	}
	return size * count;
}

static curl_socket_t open_socket(void *data, curlsocktype purpose,
				 struct curl_sockaddr *address)
{
	http_stream_t *stream = data;
	SCOPED_LOCK(held, &stream->lock);

	(void)purpose;
	if (stream->cancelled)
		return CURL_SOCKET_BAD;
	stream->fd = socket(address->family, address->socktype | SOCK_CLOEXEC,
			    address->protocol);
	return stream->fd;
}

static int close_socket(void *data, curl_socket_t fd)
{
	http_stream_t *stream = data;
	SCOPED_LOCK(held, &stream->lock);

	stream->fd = -1;
	return close(fd);
}

static void store_answer(http_stream_t *stream, CURL *curl)
{
	http_answer_t *answer = &stream->answer;

	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &answer->status);
	curl_easy_cleanup(curl);
	answer->body_len = stream->received_body->len;
	answer->headers = g_string_free(stream->received_headers, FALSE);
	answer->body = g_string_free(stream->received_body, FALSE);
	answer->json = json_loadb(answer->body, answer->body_len,
				  JSON_DECODE_ANY, NULL);
}

static void *run_stream(void *data)
{
	http_stream_t *stream = data;
	struct curl_slist *list =
		make_header_list((const char *const *)stream->headers);
	CURL *curl = curl_easy_init();

	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_URL, stream->url);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, list);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)CALL_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, stream->method);
	if (trusted_ca_file)
		curl_easy_setopt(curl, CURLOPT_CAINFO, trusted_ca_file);
	if (stream->body)
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, stream->body);
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, append_to_string);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, stream->received_headers);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, receive_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, stream);
	curl_easy_setopt(curl, CURLOPT_OPENSOCKETFUNCTION, open_socket);
	curl_easy_setopt(curl, CURLOPT_OPENSOCKETDATA, stream);
	curl_easy_setopt(curl, CURLOPT_CLOSESOCKETFUNCTION, close_socket);
	curl_easy_setopt(curl, CURLOPT_CLOSESOCKETDATA, stream);
	stream->answer.curl_result = (int)curl_easy_perform(curl);
	store_answer(stream, curl);
	curl_slist_free_all(list);
	pthread_mutex_lock(&stream->lock);
	stream->ended = true;
	pthread_cond_broadcast(&stream->changed);
	pthread_mutex_unlock(&stream->lock);
	return NULL;
}

http_stream_t *http_stream_open(const char *method, const char *url,
				const char *const *headers, const char *body)
{
	http_stream_t *stream = g_new0(http_stream_t, 1);

	pthread_mutex_init(&stream->lock, NULL);
	clock_cond_init(&stream->changed);
	stream->fd = -1;
	stream->method = g_strdup(method);
	stream->url = g_strdup(url);
	stream->headers = g_strdupv((char **)headers);
	stream->body = g_strdup(body);
	stream->line = g_string_new(NULL);
	stream->events = g_ptr_array_new_with_free_func(free_event);
	stream->received_headers = g_string_new(NULL);
	stream->received_body = g_string_new(NULL);
	if (pthread_create(&stream->thread, NULL, run_stream, stream) != 0)
		g_error("cannot start a thread for %s", url);
	return stream;
}

http_answer_t *http_call(const char *method, const char *url,
			 const char *const *headers, const char *body)
{
	http_stream_t *stream = http_stream_open(method, url, headers, body);
	http_answer_t *answer =
		g_memdup2(http_stream_wait(stream), sizeof(*answer));

	stream->answer = (http_answer_t){ 0 };
	http_stream_free(stream);
	return answer;
}

size_t http_stream_count(http_stream_t *stream)
{
	SCOPED_LOCK(held, &stream->lock);

	return stream->events->len;
}

const sse_event_t *http_stream_event(http_stream_t *stream, size_t index)
{
	SCOPED_LOCK(held, &stream->lock);

	return index < stream->events->len
		       ? g_ptr_array_index(stream->events, index)
		       : NULL;
}

bool http_stream_ended(http_stream_t *stream)
{
	SCOPED_LOCK(held, &stream->lock);

	return stream->ended;
}

void http_stream_pause(http_stream_t *stream, bool paused)
{
	SCOPED_LOCK(held, &stream->lock);

	stream->paused = paused;
	pthread_cond_broadcast(&stream->changed);
}

void http_stream_cancel(http_stream_t *stream)
{
	SCOPED_LOCK(held, &stream->lock);

	stream->cancelled = true;
	if (stream->fd >= 0)
		shutdown(stream->fd, SHUT_RDWR);
	pthread_cond_broadcast(&stream->changed);
}

const http_answer_t *http_stream_wait(http_stream_t *stream)
{
	if (!stream->joined)
		pthread_join(stream->thread, NULL);
	stream->joined = true;
	return &stream->answer;
}

char *http_stream_text(http_stream_t *stream)
{
	GString *text = g_string_new(NULL);
	SCOPED_LOCK(held, &stream->lock);

	for (guint i = 0; i < stream->events->len; i++) {
		const sse_event_t *event = g_ptr_array_index(stream->events, i);
		CLEANUP_JSON json_t *data =
			event->data ? json_loads(event->data, 0, NULL) : NULL;
		const char *content = NULL;

		if (data && !json_unpack(data, "{s:[{s:{s:s}}]}", "choices",
					 "delta", "content", &content))
			g_string_append(text, content);
	}
	return g_string_free(text, FALSE);
}

bool http_stream_is_done(http_stream_t *stream)
{
	size_t count = http_stream_count(stream);
	const sse_event_t *last =
		count ? http_stream_event(stream, count - 1) : NULL;

	return last && !g_strcmp0(last->data, "[DONE]");
}

void http_stream_free(http_stream_t *stream)
{
	http_stream_cancel(stream);
	http_stream_wait(stream);
	clear_answer(&stream->answer);
	g_ptr_array_unref(stream->events);
	g_string_free(stream->line, TRUE);
	g_free(stream->pending.id);
	g_free(stream->pending.event);
	g_free(stream->pending.data);
	g_free(stream->method);
	g_free(stream->url);
	g_strfreev(stream->headers);
	g_free(stream->body);
	pthread_cond_destroy(&stream->changed);
	pthread_mutex_destroy(&stream->lock);
	g_free(stream);
}
