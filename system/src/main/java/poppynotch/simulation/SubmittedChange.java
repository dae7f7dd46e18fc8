package poppynotch.simulation;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import poppynotch.control.ConfigChange;
import poppynotch.control.OperatorChange;
import poppynotch.control.OperatorChangeResult;
import poppynotch.register.AppliedChange;
import poppynotch.register.ProposalOutcome;
import poppynotch.register.RegisterValue;

/** An operator's configuration change and the results that the operator received for it. */
final class SubmittedChange {

    /** Length of the change history with {@link SeededDefect#HISTORY_OF_FOUR}. */
    private static final int DEFECTIVE_HISTORY_LENGTH = 4;

    private final long generation;
    private final long buildsOn;
    private final byte[] json;
    private final String content;
    private final long digest;
    private boolean acknowledged;
    private boolean rejected;
    private long acknowledgedMs = Long.MAX_VALUE;

    /**
     * Creates a change that has not been sent.
     *
     * @param generation the generation that the change creates
     * @param buildsOn the generation that the change is based on
     * @param content distinguishes the change from others of the same generation
     */
    SubmittedChange(long generation, long buildsOn, String content) {
        this.generation = generation;
        this.buildsOn = buildsOn;
        this.content = content;
        json =
                ("{\"Generation\":"
                                + generation
                                + ",\"Routes\":[],\"Backends\":[{\"Name\":\""
                                + content
                                + "\"},{\"Name\":\""
                                + VirtualRollouts.BACKEND
                                + "\"}]}")
                        .getBytes(StandardCharsets.UTF_8);
        digest = parse().digest();
    }

    long generation() {
        return generation;
    }

    long buildsOn() {
        return buildsOn;
    }

    String content() {
        return content;
    }

    long digest() {
        return digest;
    }

    boolean isAcknowledged() {
        return acknowledged;
    }

    boolean isRejected() {
        return rejected;
    }

    /** When the first acknowledgement arrived; {@code Long.MAX_VALUE} before that. */
    long acknowledgedMs() {
        return acknowledgedMs;
    }

    /** Records a received result; returns whether it is consistent with earlier ones. */
    boolean recordResult(long nowMs, OperatorChangeResult result) {
        if (result instanceof OperatorChangeResult.Applied) {
            acknowledged = true;
            acknowledgedMs = Math.min(acknowledgedMs, nowMs);
        } else if (!(result instanceof OperatorChangeResult.Unclear)) {
            rejected = true;
        }
        return !(acknowledged && rejected);
    }

    /** Returns the change as it is sent, a new object for each attempt. */
    OperatorChange toOperatorChange(SeededDefect defect) {
        ConfigChange change = parse();
        return switch (defect) {
            case HISTORY_OF_FOUR -> withShortHistory(change);
            case ROLLOUTS_LOST_BY_CONFIG_CHANGE -> withoutRollouts(change);
            default -> change;
        };
    }

    private static OperatorChange withoutRollouts(ConfigChange change) {
        return new OperatorChange() {
            @Override
            public OperatorChangeResult resultOf(ProposalOutcome outcome) {
                return change.resultOf(outcome);
            }

            @Override
            public Decision apply(RegisterValue current) {
                return change.apply(current) instanceof Decision.Replace replace
                        ? new Decision.Replace(replace.value().withStoredRollouts(new byte[0]))
                        : new Decision.Keep();
            }
        };
    }

    private ConfigChange parse() {
        ConfigChange.ParseResult result =
                ConfigChange.parse(ConfigChange.Kind.COMPLETE, buildsOn, json);
        return ((ConfigChange.ParseResult.Parsed) result).change();
    }

    private static OperatorChange withShortHistory(ConfigChange change) {
        return new OperatorChange() {
            @Override
            public OperatorChangeResult resultOf(ProposalOutcome outcome) {
                return change.resultOf(outcome);
            }

            @Override
            public Decision apply(RegisterValue current) {
                List<AppliedChange> history = current.history();
                int surplus = Math.max(0, history.size() - DEFECTIVE_HISTORY_LENGTH);
                return change.apply(current.withHistory(history.subList(surplus, history.size())));
            }
        };
    }

    /** Returns the result in an answer; empty without an answer or if the result is unknown. */
    static Optional<OperatorChangeResult> definiteResult(Optional<OperatorChangeResult> answer) {
        return answer.filter(result -> !(result instanceof OperatorChangeResult.Unclear));
    }
}
