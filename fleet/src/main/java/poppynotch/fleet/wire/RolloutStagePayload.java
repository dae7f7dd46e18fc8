package poppynotch.fleet.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import poppynotch.canary.VersionCounts;
import poppynotch.fleet.membership.Message;
import poppynotch.fleet.membership.PiggybackPayload;
import poppynotch.fleet.membership.RetransmitLimit;
import poppynotch.fleet.rollout.CanaryMetrics;
import poppynotch.fleet.rollout.RolloutParticipant;
import poppynotch.fleet.rollout.RolloutStage;

/**
 * Disseminates the stage of a rollout, piggybacked on membership messages, and answers the rollout
 * controller's requests for the metrics of this process.
 *
 * <p>Confined to the thread of its {@link RolloutParticipant}.
 */
public class RolloutStagePayload implements PiggybackPayload {

    /** The letter of this payload in a {@link CompositePayload}. */
    public static final String LETTER = "r";

    /** Factor of the number of transmissions, see {@link RetransmitLimit#transmissions}. */
    private static final double RETRANSMIT_MULTIPLIER = 3;

    /** A fraction is encoded as an integer, in millionths. */
    private static final double FRACTION_SCALE = 1_000_000;

    private static final RolloutStage.Phase[] PHASES = RolloutStage.Phase.values();

    /**
     * The metrics that one process reported.
     *
     * @param run distinguishes processes of one name
     * @param metrics counts of the outcomes of its calls
     */
    public record Report(long run, CanaryMetrics metrics) {}

    private final RolloutParticipant participant;
    private final long run;

    /** The last transmitted stage. */
    private RolloutStage lastStage;

    private int transmissions;
    private long malformed;

    /**
     * Creates a payload that sends and receives the stage of a participant.
     *
     * @param run distinguishes this process from others of its name
     */
    public RolloutStagePayload(RolloutParticipant participant, long run) {
        this.participant = participant;
        this.run = run;
    }

    /** Encodes the request for a process's metrics. */
    public static ByteBuffer encodeQuestion() {
        return ByteBuffer.wrap(new byte[] {0});
    }

    @Override
    public final ByteBuffer nextPayload(double now, int maxBytes, int memberCount) {
        RolloutStage stage = participant.currentStage(now);
        if (stage == null) {
            return Message.EMPTY_PAYLOAD;
        }
        if (stage != lastStage) {
            lastStage = stage;
            transmissions = 0;
        }
        if (transmissions >= RetransmitLimit.transmissions(RETRANSMIT_MULTIPLIER, memberCount)) {
            return Message.EMPTY_PAYLOAD;
        }
        ByteBuffer next = encode(stage, participant.stageAgeMs(now));
        if (next.remaining() > maxBytes) {
            return Message.EMPTY_PAYLOAD;
        }
        transmissions++;
        return next;
    }

    @Override
    public final void onPayload(double now, ByteBuffer received, double transitMs) {
        try {
            CborSequence.Reader in = new CborSequence.Reader(Message.toBytes(received));
            long ageMs = in.number();
            RolloutStage stage = decode(in);
            if (ageMs < 0) {
                throw new IOException("negative age of a rollout stage: ageMs=" + ageMs);
            }
            participant.onStage(now, stage, ageMs + transitMs);
        } catch (IOException | IllegalArgumentException e) {
            malformed++;
        }
    }

    @Override
    public final ByteBuffer onQuestion(
            double now, String from, long sequence, ByteBuffer question) {
        try {
            CanaryMetrics metrics = participant.metrics();
            CborSequence.PlainWriter out = new CborSequence.PlainWriter().number(run);
            for (VersionCounts count : List.of(metrics.calls(), metrics.failed(), metrics.slow())) {
                out.number(count.canary()).number(count.baseline());
            }
            return ByteBuffer.wrap(out.bytes());
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory cannot fail", e);
        }
    }

    /**
     * Decodes the metrics that a process reported.
     *
     * @throws IOException if the bytes are not a valid answer
     */
    public static Report decodeAnswer(ByteBuffer answer) throws IOException {
        CborSequence.Reader in = new CborSequence.Reader(Message.toBytes(answer));
        return new Report(
                in.number(),
                new CanaryMetrics(
                        new VersionCounts(in.number(), in.number()),
                        new VersionCounts(in.number(), in.number()),
                        new VersionCounts(in.number(), in.number())));
    }

    /** Number of stages that could not be decoded. */
    public final long malformed() {
        return malformed;
    }

    private static ByteBuffer encode(RolloutStage stage, double ageMs) {
        try {
            // Rounded up, as an age must never be understated.
            CborSequence.PlainWriter out =
                    new CborSequence.PlainWriter()
                            .number((long) Math.ceil(ageMs))
                            .text(stage.rolloutName())
                            .text(stage.serverKind())
                            .number(stage.serverIds().size());
            for (String id : stage.serverIds()) {
                out.text(id);
            }
            return ByteBuffer.wrap(
                    out.number(stage.phase().ordinal())
                            .number(stage.index())
                            .number(Math.round(stage.canaryFraction() * FRACTION_SCALE))
                            .number(stage.token())
                            .number(stage.sequence())
                            .text(stage.reason())
                            .bytes());
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory cannot fail", e);
        }
    }

    private static RolloutStage decode(CborSequence.Reader in) throws IOException {
        String rolloutName = in.text();
        String serverKind = in.text();
        List<String> serverIds = new ArrayList<>();
        for (int remaining = in.nonNegativeInt();
                remaining > 0 && serverIds.size() <= RolloutStage.MAX_SERVER_IDS;
                remaining--) {
            serverIds.add(in.text());
        }
        return new RolloutStage(
                rolloutName,
                serverKind,
                serverIds,
                in.enumValue(PHASES),
                in.nonNegativeInt(),
                in.number() / FRACTION_SCALE,
                in.number(),
                in.number(),
                in.text());
    }
}
