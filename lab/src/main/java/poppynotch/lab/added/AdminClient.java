package poppynotch.lab.added;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Client of the admin server of a process. Stateless; each request has its own connection. */
final class AdminClient {

    private static final int TIMEOUT_MS = 2000;
    private static final String DONE = "done ";
    private static final ObjectMapper JSON = new ObjectMapper();

    private AdminClient() {}

    /**
     * The number of members that a process sees in its fleet.
     *
     * @param address IP:port of its admin server
     * @return the number, or 0 where there is no answer within the time-out
     */
    static int present(String address) {
        int colon = address.lastIndexOf(':');
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(
                            address.substring(0, colon),
                            Integer.parseInt(address.substring(colon + 1))),
                    TIMEOUT_MS);
            socket.setSoTimeout(TIMEOUT_MS);
            socket.getOutputStream().write("members\n".getBytes(StandardCharsets.UTF_8));
            String answer =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
                            .trim();
            return answer.startsWith(DONE)
                    ? JSON.readTree(answer.substring(DONE.length())).path("present").asInt()
                    : 0;
        } catch (IOException e) {
            return 0;
        }
    }
}
