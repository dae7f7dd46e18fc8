package poppynotch.fleet.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Guards against a client that acts after its lease has expired by its own clock. */
class LeaseClientTest {

    /** A lease's duration is counted from when the request was sent, by the holder's own clock. */
    @Test
    void leaseIsNotHeldAfterPauseBeyondItsDuration() {
        List<String> events = new ArrayList<>();
        LeaseClient client =
                new LeaseClient(
                        LeaseSettings.DEFAULT,
                        "a",
                        1,
                        List.of("k"),
                        new SplittableRandom(1),
                        new LeaseClient.Callbacks() {
                            @Override
                            public long sendRequest(LeaseClient.Request request) {
                                events.add(request.command().kind().toString());
                                return events.size();
                            }

                            @Override
                            public void onLost(String role, long token, String reason) {
                                events.add(reason);
                            }
                        });
        client.requestRole(0, "d", 0);
        client.advance(0);
        client.onResponse(
                900,
                1,
                new LeaseClient.Response(true, new LeaseTable.Lease("a", 1, 7, 1, ""), "k"));
        assertEquals(7, client.currentToken(900, "d"));
        assertEquals(7, client.currentToken(LeaseSettings.DEFAULT.holderLeaseMs() - 1, "d"));
        assertEquals(
                0,
                client.currentToken(LeaseSettings.DEFAULT.holderLeaseMs(), "d"),
                "the duration counts from when the request was sent");
        client.advance(60_000);
        assertTrue(events.contains("lease expired"));
        client.onResponse(
                60_001,
                1,
                new LeaseClient.Response(true, new LeaseTable.Lease("a", 1, 7, 2, ""), "k"));
        assertEquals(0, client.currentToken(60_001, "d"), "a response to no request in flight");
    }
}
