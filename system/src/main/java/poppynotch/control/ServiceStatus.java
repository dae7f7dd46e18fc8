package poppynotch.control;

import poppynotch.rollout.ServiceVersions;

/**
 * The versions and latest rollout of one service as known to a replica, for operators.
 *
 * @param elapsedMs time since its latest rollout was ordered
 * @param targetAttempts attempts that have ended at the new version, by the edges' reports received
 *     here; only while the rollout is running
 * @param attempts attempts that have ended at both versions, by the same reports
 */
record ServiceStatus(
        ServiceVersions versions, long elapsedMs, long targetAttempts, long attempts) {}
