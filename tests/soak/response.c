#include <sys/socket.h>

#include "net/http1.h"
#include "tests/soak/soak.h"

#define HEAD_BYTES 32768

struct reading {
	struct soak_response *response;
	struct mh_response_judge judge;
};

static int on_head(void *data, const struct mh_http_head *head)
{
	struct reading *rd = data;

	rd->response->status = head->status;
	rd->response->reusable = head->keep_alive;
	mh_response_judge_begin(
		&rd->judge, mh_http_framing(head, false),
		mh_http_media_type_is(head, "text/event-stream"), false);
	return 0;
}

static int on_body(void *data, const uint8_t *bytes, size_t len)
{
	struct reading *rd = data;

	mh_response_judge_read(&rd->judge, bytes, len);
	return !mh_buffer_add(&rd->response->body, bytes, len);
}

bool soak_read_response(int fd, struct soak_response *response, bool *any)
{
	static const struct mh_http_ops ops = { on_head, on_body };
	enum mh_http_result_code code = MH_HTTP_MORE;
	struct reading rd = { .response = response };
	struct mh_http_reader reader;
	uint8_t block[4096];
	size_t used;
	ssize_t n = 0;

	*any = false;
	mh_http_reader_init(&reader, HTTP_RESPONSE, HEAD_BYTES, &ops, &rd);
	mh_http_reader_reset(&reader);
	while (code == MH_HTTP_MORE &&
	       (n = recv(fd, block, sizeof(block), 0)) > 0) {
		*any = true;
		code = mh_http_read(&reader, block, (size_t)n, &used);
		/* Bytes after the response belong to no request. */
		if (code == MH_HTTP_DONE && used < (size_t)n)
			response->status = 0;
	}
	if (code == MH_HTTP_MORE && n == 0 && mh_http_read_eof(&reader))
		code = MH_HTTP_DONE;
	mh_http_reader_release(&reader);
	response->end = mh_response_judge_end(&rd.judge, code == MH_HTTP_DONE);
	return code == MH_HTTP_DONE;
}
