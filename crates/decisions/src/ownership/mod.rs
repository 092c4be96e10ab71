//! Who owns which upstream.
