package poppynotch.simulation;

import poppynotch.wire.Message;

/** The receiver of a control-plane replica's replies to polls. */
interface ReplyTarget {

    /** A replica sends a reply; called in the replica's process. */
    void onReply(VirtualControlPlane from, Message message);
}
