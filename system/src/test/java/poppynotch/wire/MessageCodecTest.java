package poppynotch.wire;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;
import poppynotch.register.AcceptorSet;
import poppynotch.register.AppliedChange;
import poppynotch.register.Ballot;
import poppynotch.register.RegisterMessage;
import poppynotch.register.RegisterValue;

/**
 * Guards against encodings that differ from those of earlier versions, by golden records, and
 * against malformed records that are accepted.
 */
class MessageCodecTest {

    private static final Ballot BALLOT = new Ballot(5, -3);
    private static final RegisterValue VALUE =
            new RegisterValue(
                    4,
                    new AcceptorSet(List.of("a"), List.of("b")),
                    9,
                    new byte[] {1, 2},
                    List.of(new AppliedChange(7, 9)),
                    0);
    private static final ServerRecord SERVER =
            new ServerRecord("i", "s", "h:1", "z", 4, ServerState.DRAINING, 8);
    private static final List<TenantUsage> USAGE = List.of(new TenantUsage("t", 12));

    private static final List<Message> ALL_MESSAGES =
            List.of(
                    new Message.Hello("a:1", 3),
                    new Message.Heartbeat(
                            1,
                            true,
                            2,
                            BALLOT,
                            BALLOT,
                            BALLOT,
                            AcceptorSet.of(List.of("a")),
                            true,
                            99,
                            List.of("c"),
                            List.of(new Message.Renewal("i", 4)),
                            List.of(new EdgeLease("e", 1, "h:2", 2, USAGE)),
                            List.of()),
                    new Message.HeartbeatReply(4, true, BALLOT, Ballot.ZERO),
                    new Message.RegisterEnvelope(new RegisterMessage.Prepare(BALLOT)),
                    new Message.RegisterEnvelope(
                            new RegisterMessage.Promise(BALLOT, Ballot.ZERO, VALUE)),
                    new Message.RegisterEnvelope(new RegisterMessage.Accept(BALLOT, VALUE)),
                    new Message.RegisterEnvelope(new RegisterMessage.Accepted(BALLOT)),
                    new Message.RegisterEnvelope(new RegisterMessage.Rejected(BALLOT, Ballot.ZERO)),
                    new Message.ValueChosen(BALLOT, VALUE),
                    new Message.FetchValue(),
                    new Message.RoleClaim(3),
                    new Message.RoleGrant(4),
                    new Message.ServersChanged(1, List.of(SERVER)),
                    new Message.ServersAcknowledged(1),
                    new Message.FetchRegistry(),
                    new Message.RegistrySnapshot(true, List.of(SERVER)),
                    new Message.Poll("e", 1, "h:2", 2, 3, 4, 5, USAGE, List.of()),
                    new Message.PromptSent("i", "s", 7, List.of(new PromptSegment(-1, 3))),
                    new Message.PollReply(
                            1,
                            2,
                            3,
                            VALUE,
                            true,
                            false,
                            4,
                            List.of(SERVER),
                            5,
                            6,
                            7,
                            USAGE,
                            List.of("c"),
                            List.of("h:2")),
                    new Message.PollReply(
                            1, 2, 3, null, false, true, 4, List.of(), 5, 6, 7, List.of(), List.of(),
                            List.of()));

    private static final List<RolloutReport> REPORTS =
            List.of(
                    new RolloutReport(
                            -5,
                            6,
                            "s",
                            17,
                            18,
                            3,
                            List.of(
                                    new OutcomeCount("r", OutcomeCount.BASELINE, 9, 1, 2),
                                    new OutcomeCount("r", 7, 4, 0, 4))));
    private static final ServerRecord SERVER_WITH_VERSION = SERVER.withVersion("v2");
    private static final RegisterValue VALUE_WITH_ROLLOUTS =
            VALUE.withStoredRollouts(new byte[] {7, 8, 9});

    /** Messages with trailing fields that earlier versions do not have. */
    private static final List<Message> MESSAGES_WITH_TRAILING_FIELDS =
            List.of(
                    new Message.Heartbeat(
                            1,
                            true,
                            2,
                            BALLOT,
                            BALLOT,
                            BALLOT,
                            AcceptorSet.of(List.of("a")),
                            true,
                            99,
                            List.of("c"),
                            List.of(),
                            List.of(),
                            REPORTS),
                    new Message.RegisterEnvelope(
                            new RegisterMessage.Promise(BALLOT, Ballot.ZERO, VALUE_WITH_ROLLOUTS)),
                    new Message.RegisterEnvelope(
                            new RegisterMessage.Accept(BALLOT, VALUE_WITH_ROLLOUTS)),
                    new Message.ValueChosen(BALLOT, VALUE_WITH_ROLLOUTS),
                    new Message.ServersChanged(1, List.of(SERVER, SERVER_WITH_VERSION)),
                    new Message.RegistrySnapshot(true, List.of(SERVER_WITH_VERSION)),
                    new Message.Poll("e", 1, "h:2", 2, 3, 4, 5, USAGE, REPORTS),
                    pollReply(VALUE_WITH_ROLLOUTS, List.of(SERVER_WITH_VERSION, SERVER)),
                    pollReply(VALUE_WITH_ROLLOUTS, List.of()),
                    pollReply(null, List.of(SERVER_WITH_VERSION)));

    private static Message.PollReply pollReply(RegisterValue value, List<ServerRecord> servers) {
        return new Message.PollReply(
                1, 2, 3, value, true, false, 4, servers, 5, 6, 7, USAGE, List.of("c"), List.of());
    }

    @Test
    void decodesTrailingFieldsAsEncoded() throws IOException {
        for (Message message : MESSAGES_WITH_TRAILING_FIELDS) {
            assertThat(MessageCodec.decode(MessageCodec.encode(message))).isEqualTo(message);
        }
    }

    /** Earlier versions ignore trailing fields, so the preceding bytes must not change. */
    @Test
    void trailingFieldsFollowUnchangedEncodingOfEarlierVersions() {
        assertIsPrefix(
                new Message.Poll("e", 1, "h:2", 2, 3, 4, 5, USAGE, List.of()),
                new Message.Poll("e", 1, "h:2", 2, 3, 4, 5, USAGE, REPORTS));
        assertIsPrefix(
                new Message.ServersChanged(1, List.of(SERVER)),
                new Message.ServersChanged(1, List.of(SERVER_WITH_VERSION)));
        assertIsPrefix(
                pollReply(VALUE, List.of(SERVER)),
                pollReply(VALUE_WITH_ROLLOUTS, List.of(SERVER_WITH_VERSION)));
        assertIsPrefix(
                new Message.ValueChosen(BALLOT, VALUE),
                new Message.ValueChosen(BALLOT, VALUE_WITH_ROLLOUTS));
    }

    private static void assertIsPrefix(Message earlier, Message later) {
        byte[] prefix = MessageCodec.encode(earlier);
        byte[] record = MessageCodec.encode(later);
        assertThat(record.length).isGreaterThan(prefix.length);
        assertThat(Arrays.copyOf(record, prefix.length)).isEqualTo(prefix);
    }

    @Test
    void decodesEveryMessageAsEncoded() throws IOException {
        for (Message message : ALL_MESSAGES) {
            assertThat(MessageCodec.decode(MessageCodec.encode(message))).isEqualTo(message);
        }
    }

    /**
     * The records as encoded by earlier versions, one per line in the order of {@link
     * #ALL_MESSAGES}.
     */
    private static List<String> goldenRecords() throws IOException {
        try (InputStream in = MessageCodecTest.class.getResourceAsStream("/golden/messages.hex")) {
            return new String(in.readAllBytes(), StandardCharsets.US_ASCII).lines().toList();
        }
    }

    @Test
    void encodesEveryMessageAsEarlierVersions() throws IOException {
        List<String> encoded =
                ALL_MESSAGES.stream()
                        .map(message -> HexFormat.of().formatHex(MessageCodec.encode(message)))
                        .toList();
        assertThat(encoded).isEqualTo(goldenRecords());
    }

    @Test
    void decodesEveryMessageOfEarlierVersions() throws IOException {
        List<Message> decoded = new ArrayList<>();
        for (String record : goldenRecords()) {
            decoded.add(MessageCodec.decode(HexFormat.of().parseHex(record)));
        }
        assertThat(decoded).isEqualTo(ALL_MESSAGES);
    }

    @Test
    void rejectsTruncatedRecord() {
        for (Message message : ALL_MESSAGES) {
            byte[] record = MessageCodec.encode(message);
            for (int length = 0; length < record.length; length++) {
                byte[] truncated = Arrays.copyOf(record, length);
                assertThrows(IOException.class, () -> MessageCodec.decode(truncated));
            }
        }
    }

    @Test
    void rejectsUnknownMessageKind() {
        assertThrows(IOException.class, () -> MessageCodec.decode(new byte[] {77}));
    }
}
