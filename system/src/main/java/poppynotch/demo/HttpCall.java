package poppynotch.demo;

import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;

/** One blocking HTTP call of a stand-in client. */
final class HttpCall {

    static final int OK = 200;
    private static final int TIMEOUT_MS = 5000;

    /** An answer. */
    record Answer(int status, String body) {}

    private final HttpURLConnection connection;
    private String content;

    private HttpCall(HttpURLConnection connection) {
        this.connection = connection;
    }

    static HttpCall of(String method, String url) throws IOException {
        HttpURLConnection connection = (HttpURLConnection) URI.create(url).toURL().openConnection();
        connection.setRequestMethod(method);
        connection.setConnectTimeout(TIMEOUT_MS);
        connection.setReadTimeout(TIMEOUT_MS);
        return new HttpCall(connection);
    }

    HttpCall header(String name, String value) {
        connection.setRequestProperty(name, value);
        return this;
    }

    HttpCall body(String json) {
        content = json;
        return this;
    }

    Answer send() throws IOException {
        if (content != null) {
            connection.setDoOutput(true);
            connection.getOutputStream().write(content.getBytes(StandardCharsets.UTF_8));
        }
        int status = connection.getResponseCode();
        try (InputStream in =
                status >= HttpURLConnection.HTTP_BAD_REQUEST
                        ? connection.getErrorStream()
                        : connection.getInputStream()) {
            return new Answer(
                    status,
                    in == null ? "" : new String(in.readAllBytes(), StandardCharsets.UTF_8));
        }
    }
}
