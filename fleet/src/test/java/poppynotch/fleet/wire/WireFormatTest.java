package poppynotch.fleet.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import poppynotch.fleet.lease.LeaseClient;
import poppynotch.fleet.lease.LeaseCommand;
import poppynotch.fleet.lease.LeaseTable;
import poppynotch.fleet.membership.MemberProfile;
import poppynotch.fleet.membership.MemberState;
import poppynotch.fleet.membership.MemberUpdate;
import poppynotch.fleet.membership.Message;
import poppynotch.fleet.rollout.RolloutParticipant;
import poppynotch.fleet.rollout.RolloutStage;
import poppynotch.fleet.sharing.ObservationStore;
import poppynotch.fleet.sharing.QuotaShares;

/**
 * Compares encoded messages with recorded bytes of earlier versions, and decodes those. Guards
 * against a change of the wire format that would keep processes of different versions from reading
 * each other's messages.
 */
class WireFormatTest {

    private static List<String> recorded(String file) throws IOException {
        try (InputStream in = WireFormatTest.class.getResourceAsStream("/golden/" + file)) {
            return new String(in.readAllBytes(), StandardCharsets.US_ASCII).lines().toList();
        }
    }

    private static String hex(byte[] bytes) {
        return HexFormat.of().formatHex(bytes);
    }

    private static String hex(ByteBuffer buffer) {
        return hex(Message.toBytes(buffer));
    }

    private static ByteBuffer bytes(String hex) {
        return ByteBuffer.wrap(HexFormat.of().parseHex(hex));
    }

    /** One message of each kind, with a member in each state and phase. */
    static List<Message> messages() {
        List<MemberUpdate> updates = new ArrayList<>();
        for (MemberState state : MemberState.values()) {
            MemberProfile.Phase phase =
                    MemberProfile.Phase.values()[
                            state.ordinal() % MemberProfile.Phase.values().length];
            updates.add(
                    new MemberUpdate(
                            "m" + state.ordinal(),
                            "127.0.0.1:7002",
                            2,
                            77,
                            state,
                            "n3",
                            new MemberProfile("a", "front", "0.3", phase, "127.0.0.1:1"),
                            state.ordinal() * 10L));
        }
        List<Message> all = new ArrayList<>();
        for (Message.Kind kind : Message.Kind.values()) {
            all.add(
                    new Message(
                            kind,
                            "n1",
                            "127.0.0.1:7000",
                            99,
                            7 + kind.ordinal(),
                            "n2",
                            "127.0.0.1:7001",
                            -42,
                            List.of(1L, -2L),
                            updates,
                            ByteBuffer.wrap(new byte[] {1, 2, 3})));
        }
        return all;
    }

    static List<LeaseClient.Request> questions() {
        List<LeaseClient.Request> all = new ArrayList<>();
        for (LeaseCommand.Kind kind : LeaseCommand.Kind.values()) {
            all.add(
                    new LeaseClient.Request(
                            "", new LeaseCommand(kind, "d", "m", 5, 1L << 41, 3), 2));
        }
        return all;
    }

    static List<LeaseClient.Response> answers() {
        return List.of(
                new LeaseClient.Response(
                        true, new LeaseTable.Lease("m", 5, 1L << 41, 9, "x"), "k1"),
                new LeaseClient.Response(false, null, ""));
    }

    private static List<RolloutStage> stages() {
        List<RolloutStage> all = new ArrayList<>();
        for (RolloutStage.Phase phase : RolloutStage.Phase.values()) {
            all.add(
                    new RolloutStage(
                            "r",
                            "m2",
                            List.of("s1", "s2"),
                            phase,
                            1,
                            0.25,
                            7,
                            3 + phase.ordinal(),
                            "why"));
        }
        return all;
    }

    /** Payloads of each kind: rollout stages, observations, quota loans and leases. */
    static List<String> payloadsAsHex() {
        List<String> all = new ArrayList<>();
        for (RolloutStage stage : stages()) {
            RolloutParticipant participant = new RolloutParticipant();
            participant.onStage(0, stage, 5);
            all.add(
                    hex(
                            new CompositePayload()
                                    .with(
                                            RolloutStagePayload.LETTER,
                                            new RolloutStagePayload(participant, 2))
                                    .nextPayload(10, 1000, 20)));
        }
        ObservationStore observations = new ObservationStore("other", 1, 15_000, 100);
        observations.recordLocal(0, "s1", 5, 1, 2, 1);
        all.add(
                hex(
                        new CompositePayload()
                                .with("s", new ObservationPayload(observations))
                                .nextPayload(10, 1000, 20)));
        all.add(
                hex(
                        CompositePayload.encodeSingle(
                                "l",
                                QuotaLoanPayload.encodeQuestion(
                                        new QuotaShares.LoanRequest("a", "t", 5.5)))));
        all.add(hex(CompositePayload.encodeSingle("l", QuotaLoanPayload.encodeAnswer(5.5))));
        all.add(
                hex(
                        CompositePayload.encodeSingle(
                                RolloutStagePayload.LETTER, RolloutStagePayload.encodeQuestion())));
        all.add(
                hex(
                        new RolloutStagePayload(new RolloutParticipant(), 2)
                                .onQuestion(0, "a", 1, RolloutStagePayload.encodeQuestion())));
        all.add(
                hex(
                        CompositePayload.encodeSingle(
                                LeaseCodec.LETTER, LeaseCodec.encodeQuestion(questions().get(0)))));
        return all;
    }

    static List<String> messagesAsHex() {
        MessageCodec codec = new MessageCodec("fleet-1");
        return messages().stream().map(message -> hex(codec.encode(message))).toList();
    }

    static List<String> leaseMessagesAsHex() {
        List<String> all = new ArrayList<>();
        questions().forEach(question -> all.add(hex(LeaseCodec.encodeQuestion(question))));
        answers().forEach(answer -> all.add(hex(LeaseCodec.encodeAnswer(answer))));
        return all;
    }

    @Test
    void encodesMessagesAsEarlierVersions() throws IOException {
        assertEquals(recorded("messages.hex"), messagesAsHex());
    }

    @Test
    void decodesMessagesOfEarlierVersions() throws Exception {
        List<Message> decoded = new ArrayList<>();
        for (String hex : recorded("messages.hex")) {
            decoded.add(new MessageCodec("fleet-1").decode(HexFormat.of().parseHex(hex)));
        }
        List<Message> expected = new ArrayList<>();
        for (Message message : messages()) {
            expected.add(
                    new MessageCodec("fleet-1")
                            .decode(new MessageCodec("fleet-1").encode(message)));
        }
        assertEquals(expected, decoded);
        assertEquals(
                messages().stream().map(Message::kind).toList(),
                decoded.stream().map(Message::kind).toList());
    }

    @Test
    void encodesAndDecodesLeaseMessagesAsEarlierVersions() throws IOException {
        List<String> recorded = recorded("duties.hex");
        assertEquals(recorded, leaseMessagesAsHex());
        int next = 0;
        for (LeaseClient.Request question : questions()) {
            assertEquals(question, LeaseCodec.decodeQuestion(bytes(recorded.get(next++))));
        }
        for (LeaseClient.Response answer : answers()) {
            assertEquals(answer, LeaseCodec.decodeAnswer(bytes(recorded.get(next++))));
        }
    }

    @Test
    void encodesPayloadsAsEarlierVersions() throws IOException {
        assertEquals(recorded("riders.hex"), payloadsAsHex());
    }

    @Test
    void decodesPayloadsOfEarlierVersions() throws IOException {
        List<String> recorded = recorded("riders.hex");
        for (int i = 0; i < stages().size(); i++) {
            RolloutParticipant participant = new RolloutParticipant();
            new CompositePayload()
                    .with(RolloutStagePayload.LETTER, new RolloutStagePayload(participant, 1))
                    .onPayload(20, bytes(recorded.get(i)), 0);
            assertEquals(stages().get(i), participant.currentStage(20));
        }
        ObservationStore store = new ObservationStore("me", 1, 15_000, 100);
        CompositePayload payload =
                new CompositePayload()
                        .with("s", new ObservationPayload(store))
                        .with("l", new QuotaLoanPayload(new QuotaShares(new SplittableRandom(1))));
        payload.onPayload(20, bytes(recorded.get(stages().size())), 100);
        assertEquals(1, store.size());
        payload.onQuestion(20, "a", 1, bytes(recorded.get(stages().size() + 1)));
        payload.onAnswer(20, "a", 1, bytes(recorded.get(stages().size() + 2)));
        assertEquals(0, payload.malformed());
    }
}
