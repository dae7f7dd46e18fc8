/**
 * The control plane: replicas that agree on the configuration with a replicated register, keep the
 * registry of model servers and the leases of edges, and deliver both to the edges by long polls.
 */
package poppynotch.control;
