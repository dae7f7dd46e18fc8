/**
 * CBOR encodings of what the processes of a fleet send to each other: the messages of membership
 * ({@link poppynotch.fleet.wire.MessageCodec}) and the payloads that are piggybacked on them
 * ({@link poppynotch.fleet.wire.CompositePayload}).
 */
package poppynotch.fleet.wire;
