package poppynotch.router;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import poppynotch.config.Tenant;

/**
 * Guards against names and paths that reach a server as other bytes than they were configured or
 * sent with. Uses real sockets.
 */
class HeadTextOnSocketTest extends ExchangeHarness {

    /** ASCII, Latin-1, its UTF-8 bytes as Latin-1, beyond Latin-1, beyond U+FFFF, two forms. */
    private static final List<String> NAMES =
            List.of("acme", "ü", "Ã¼", "Taş Evi", "Tağ Evi", "🦊", "\u00e9", "e\u0301");

    private static HttpHeaders headers() {
        return new DefaultHttpHeaders()
                .set("Host", "h")
                .set(Headers.ATTEMPT_ID, "id-" + System.nanoTime());
    }

    /** What the codec makes of received bytes, and what {@link ScriptedServer} records. */
    private static String asReceived(String text) {
        return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    }

    private String latestHead() {
        List<String> heads = servers.get(0).requestHeads;
        return heads.get(heads.size() - 1);
    }

    @Test
    void serversGetEachTenantsNameAsItsUtf8Bytes() throws Exception {
        servers.add(new ScriptedServer());
        configure(List.of(servers.get(0).address()), 10_000);
        Set<String> received = new HashSet<>();
        for (String name : NAMES) {
            Tenant tenant = new Tenant(name, List.of("k"), -1, false, 1, 0, 0);
            servers.get(0).enqueue(ScriptedServer.ok("x"));
            RecordedResponse client =
                    send("/once/", headers(), 60_000, new QuotaReservation(Optional.of(tenant), 1));
            assertThat(client.ended()).isEqualTo("complete 200");
            String value = ScriptedServer.header(latestHead(), "X-Poppynotch-Tenant");
            assertWithMessage(name).that(value).isEqualTo(asReceived(name));
            received.add(value);
        }
        assertThat(received).hasSize(NAMES.size());
    }

    @Test
    void forwardsPathAndClientHeadersByteForByte() throws Exception {
        servers.add(new ScriptedServer(ScriptedServer.ok("x")));
        configure(List.of(servers.get(0).address()), 10_000);
        HttpHeaders headers = headers().set("X-Note", asReceived("ş 🦊"));
        RecordedResponse client = send("/once/" + asReceived("ş") + "\u00fc/", headers, 60_000);
        assertThat(client.ended()).isEqualTo("complete 200");
        assertThat(latestHead())
                .startsWith("POST /once/" + asReceived("ş") + "\u00fc/x HTTP/1.1\r\n");
        assertThat(ScriptedServer.header(latestHead(), "X-Note")).isEqualTo(asReceived("ş 🦊"));
    }

    /** The id of the last event goes to the next server as the bytes in which it arrived. */
    @Test
    void resumesStreamByIdBeyondAscii() throws Exception {
        String event = "id: ş7\ndata: a\n\n";
        servers.add(new ScriptedServer(ScriptedServer.unframed(true, event)));
        servers.add(new ScriptedServer(ScriptedServer.ok("x")));
        configure(servers.stream().map(ScriptedServer::address).toList(), 10_000);
        send("/resume/", headers(), 60_000).ended();
        String head = servers.get(1).requestHeads.get(0);
        assertThat(ScriptedServer.header(head, "Last-Event-Id")).isEqualTo(asReceived("ş7"));
    }
}
