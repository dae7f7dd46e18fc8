/** Statistical comparison of a new version of a service with the old one that runs next to it. */
package poppynotch.canary;
