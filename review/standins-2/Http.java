package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on blocking sockets, as far as the stand-ins need it. */
final class Http {

    private Http() {}

    /** A message: its first line, its headers by lower-case name, and its whole body. */
    record Message(String firstLine, Map<String, String> headers, byte[] body) {

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    static Message read(InputStream in) throws IOException {
        String first = readLine(in);
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equals(headers.get("transfer-encoding"))) {
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                body.write(readExactly(in, size));
                readLine(in);
            }
            readLine(in);
        } else {
            body.write(readExactly(in, Integer.parseInt(headers.getOrDefault("content-length", "0"))));
        }
        return new Message(first, headers, body.toByteArray());
    }

    private static int chunkSize(InputStream in) throws IOException {
        return Integer.parseInt(readLine(in).trim(), 16);
    }

    private static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("message ends early");
        }
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException("connection ended");
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }

    /** Sends one request on a connection of its own and reads the whole answer. */
    static Message call(
            InetSocketAddress to, String method, String path, Map<String, String> headers, byte[] body, int timeoutMs)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(to, Math.min(timeoutMs, 1000));
            socket.setSoTimeout(timeoutMs);
            socket.getOutputStream().write(head(method + " " + path + " HTTP/1.1", headers, body.length));
            socket.getOutputStream().write(body);
            socket.getOutputStream().flush();
            return read(new BufferedInputStream(socket.getInputStream()));
        }
    }

    static byte[] head(String firstLine, Map<String, String> headers, int length) {
        StringBuilder head = new StringBuilder(firstLine).append("\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(length).append("\r\n\r\n");
        return head.toString().getBytes(StandardCharsets.ISO_8859_1);
    }
}
