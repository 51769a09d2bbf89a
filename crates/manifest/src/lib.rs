//! settings and manifests: JSON with comments, checked, with findings by place.
