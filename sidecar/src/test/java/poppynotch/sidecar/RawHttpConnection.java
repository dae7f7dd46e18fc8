package poppynotch.sidecar;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * One end of an HTTP connection that writes and reads raw bytes, so that tests can also send
 * malformed messages.
 */
final class RawHttpConnection implements Closeable {

    private static final int READ_TIMEOUT_MS = 20_000;

    /** A message: its first line, its headers in lower case and its body. */
    record Message(String line, Map<String, String> headers, String body) {
        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }
    }

    final Socket socket;
    private final InputStream in;

    RawHttpConnection(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(READ_TIMEOUT_MS);
        socket.setTcpNoDelay(true);
        in = socket.getInputStream();
    }

    static RawHttpConnection connectTo(InetSocketAddress address) throws IOException {
        return new RawHttpConnection(new Socket(address.getAddress(), address.getPort()));
    }

    RawHttpConnection send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        return this;
    }

    Message read() throws IOException {
        String first = readLine();
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        String body = headers.containsKey("transfer-encoding") ? readChunks() : readBytes(length);
        if (body.length() < length) {
            throw new EOFException("the connection ended within a body");
        }
        return new Message(first, headers, body);
    }

    /** Reads the given number of bytes, or fewer if the connection ends before. */
    String readBytes(int length) throws IOException {
        return new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
    }

    String readChunks() throws IOException {
        StringBuilder body = new StringBuilder();
        for (int size = readChunkSize(); size > 0; size = readChunkSize()) {
            String chunk = readBytes(size);
            if (chunk.length() < size) {
                throw new EOFException("the connection ended within a chunk");
            }
            body.append(chunk);
            readLine();
        }
        readLine();
        return body.toString();
    }

    private int readChunkSize() throws IOException {
        return Integer.parseInt(readLine().split(";")[0].trim(), 16);
    }

    /** Reads the first line and the headers of a message, up to its body. */
    String readHead() throws IOException {
        StringBuilder head = new StringBuilder();
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            head.append(line).append('\n');
        }
        return head.toString();
    }

    private String readLine() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException("the connection ended");
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads until the peer closes. */
    String readToEnd() throws IOException {
        return new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    /** Waits until the peer has closed or reset the connection. */
    void awaitEnd() throws IOException {
        try {
            while (in.read() >= 0) {
                // Input is dropped until the end.
            }
        } catch (java.net.SocketTimeoutException e) {
            throw e;
        } catch (IOException e) {
            // A reset ends it as well.
            return;
        }
    }

    /**
     * Whether the peer has closed the connection and not reset it: state 8 in the system's TCP
     * table. Reading shows the difference only if nothing was left to read.
     */
    boolean isClosedInOrder() throws IOException {
        Pattern ended =
                Pattern.compile(
                        String.format(
                                Locale.ROOT,
                                ":%04X [0-9A-F]+:%04X 08 ",
                                socket.getLocalPort(),
                                socket.getPort()));
        return ended.matcher(systemTcpTable()).find();
    }

    /** The system's tables of connections: a line has both ends, ports in hex, and the state. */
    static String systemTcpTable() throws IOException {
        StringBuilder table = new StringBuilder();
        for (String name : List.of("tcp", "tcp6")) {
            Path file = Path.of("/proc/self/net", name);
            // A system without IPv6 has no table of it.
            table.append(Files.exists(file) ? Files.readString(file) : "");
        }
        return table.toString();
    }

    /** Closes with a reset. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
