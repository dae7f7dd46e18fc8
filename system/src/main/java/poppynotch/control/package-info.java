/** The control plane: register, registry, leases, delivery. */
package poppynotch.control;
