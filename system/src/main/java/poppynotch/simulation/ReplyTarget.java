package poppynotch.simulation;

import poppynotch.wire.Message;

/** What a core process answers an edge's polls on. */
interface ReplyTarget {

    /** A core process answers. */
    void reply(VirtualControlPlane from, Message message);
}
