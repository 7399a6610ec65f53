"""What a proxy keeps on disk to return to service after a crash: framed records (`frames`), their files
(`files`).
"""
